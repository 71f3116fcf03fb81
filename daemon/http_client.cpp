/// \file
/// The thread that drives libcurl's multi interface.
#include "http_client.h"

#include <map>
#include <mutex>
#include <thread>
#include <utility>

#include "http_transfer.h"
#include "io_limits.h"

namespace cuminmoor::io {

namespace {

constexpr int poll_timeout_ms{1'000};
constexpr std::size_t max_spare_handles{256};

struct curl_multi_deleter {
    void operator()(CURLM* multi) const { curl_multi_cleanup(multi); }
};

void initialise_library()
{
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

class curl_client final : public http_client {
public:
    curl_client(clock_source& clock, long connections) : clock_{clock}, multi_{curl_multi_init()}
    {
        curl_multi_setopt(multi_.get(), CURLMOPT_MAX_HOST_CONNECTIONS, connections);
        curl_multi_setopt(multi_.get(), CURLMOPT_PIPELINING, static_cast<long>(CURLPIPE_NOTHING));
        thread_ = std::thread{[this] { run(); }};
    }

    ~curl_client() override
    {
        {
            const std::lock_guard lock{mutex_};
            stopping_ = true;
        }
        curl_multi_wakeup(multi_.get());
        thread_.join();
    }
    curl_client(const curl_client&) = delete;
    curl_client& operator=(const curl_client&) = delete;
    curl_client(curl_client&&) = delete;
    curl_client& operator=(curl_client&&) = delete;

    call_number start(http_call call, http_callback done) override
    {
        call_number number{0};
        {
            const std::lock_guard lock{mutex_};
            number = ++last_number_;
            incoming_.push_back(
                std::make_unique<http_transfer>(number, std::move(call), std::move(done), clock_));
        }
        curl_multi_wakeup(multi_.get());
        return number;
    }

    void drop(call_number call) override
    {
        {
            const std::lock_guard lock{mutex_};
            dropped_.push_back(call);
        }
        curl_multi_wakeup(multi_.get());
    }

private:
    using transfer_list = std::vector<std::unique_ptr<http_transfer>>;

    void run()
    {
        while (take_orders()) {
            int running{0};
            curl_multi_perform(multi_.get(), &running);
            finish_transfers();
            curl_multi_poll(multi_.get(), nullptr, 0, poll_timeout_ms, nullptr);
        }
        while (!open_.empty()) {
            drop_transfer(open_.begin()->first);
        }
    }

    /// \return false when the client is being destroyed.
    bool take_orders()
    {
        transfer_list incoming;
        std::vector<call_number> dropped;
        {
            const std::lock_guard lock{mutex_};
            if (stopping_) {
                return false;
            }
            incoming.swap(incoming_);
            dropped.swap(dropped_);
        }
        for (auto& transfer : incoming) {
            begin_transfer(std::move(transfer));
        }
        for (const call_number call : dropped) {
            drop_transfer(call);
        }
        return true;
    }

    void begin_transfer(std::unique_ptr<http_transfer> transfer)
    {
        const instant now = clock_.now();
        if (now > transfer->call().not_after || now >= transfer->call().deadline) {
            transfer->refuse("not_after or the deadline passed before sending");
            return;
        }
        transfer->prepare(take_handle(), now);
        curl_multi_add_handle(multi_.get(), transfer->easy());
        open_.emplace(transfer->number(), std::move(transfer));
    }

    /// Removing an unfinished transfer makes the library close its connection.
    void drop_transfer(call_number call)
    {
        const auto found = open_.find(call);
        if (found != open_.end()) {
            curl_multi_remove_handle(multi_.get(), found->second->easy());
            keep_handle(found->second->release_easy());
            open_.erase(found);
        }
    }

    void finish_transfers()
    {
        int left{0};
        while (CURLMsg* const message = curl_multi_info_read(multi_.get(), &left)) {
            if (message->msg == CURLMSG_DONE) {
                finish_transfer(message->easy_handle, message->data.result);
            }
        }
    }

    void finish_transfer(CURL* easy, CURLcode code)
    {
        http_transfer* transfer{nullptr};
        curl_easy_getinfo(easy, CURLINFO_PRIVATE, &transfer);
        curl_multi_remove_handle(multi_.get(), easy);
        transfer->finish(code);
        keep_handle(transfer->release_easy());
        open_.erase(transfer->number());
    }

    curl_easy_handle take_handle()
    {
        if (spare_.empty()) {
            return curl_easy_handle{curl_easy_init()};
        }
        curl_easy_handle handle = std::move(spare_.back());
        spare_.pop_back();
        return handle;
    }

    void keep_handle(curl_easy_handle handle)
    {
        if (spare_.size() < max_spare_handles) {
            spare_.push_back(std::move(handle));
        }
    }

    clock_source& clock_;
    std::unique_ptr<CURLM, curl_multi_deleter> multi_;

    // Shared with the callers of `start` and `drop`.
    std::mutex mutex_;
    transfer_list incoming_;
    std::vector<call_number> dropped_;
    call_number last_number_{0};
    bool stopping_{false};

    // The client thread's own.
    std::map<call_number, std::unique_ptr<http_transfer>> open_;
    std::vector<curl_easy_handle> spare_;
    std::thread thread_;
};

} // namespace

std::unique_ptr<http_client> make_http_client(clock_source& clock, long connections)
{
    initialise_library();
    return std::make_unique<curl_client>(clock, connections);
}

} // namespace cuminmoor::io
