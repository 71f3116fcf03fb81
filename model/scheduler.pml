/*
 * Scheduling of one task in a failure domain with two schedulers and two workers, next to a second
 * failure domain that it may be moved to. README.md says what is abstracted.
 *
 * Invariants, as assertions:
 *   - the task runs in at most one place (may_run);
 *   - its end is counted once, and every record fits the ledger that it is folded into (apply);
 *   - it always belongs to exactly one failure domain (apply);
 *   - an attempt starts from the newest checkpoint, and never after its end (may_run);
 *   - no start later than START_VALIDITY after the failure domain was taken out (deliver_start).
 */

#define MAX_ATTEMPTS 2
#ifndef MAX_NOW
#define MAX_NOW 2
#endif
#ifndef MAX_EPOCH
#define MAX_EPOCH 2
#endif
#define START_VALIDITY 1
/* Index of an attempt (from 1) on a worker. */
#define AT(attempt, worker) (((attempt) - 1) * WORKERS + (worker))
#define ATS (MAX_ATTEMPTS * WORKERS)

/* A worker's check of a start order. */
#ifdef NO_START_VALIDITY
#define IN_TIME(at) true
#else
#define IN_TIME(at) (now < start_before[at])
#endif
#ifdef START_WITHOUT_INCARNATION
#define FOR_THIS_INCARNATION(at, w) true
#else
#define FOR_THIS_INCARNATION(at, w) (start_restarted[at] == restarted[w])
#endif

/* Evidence that the assigned attempt neither runs nor can start any more. */
#if defined(RELEASE_BY_TIMEOUT)
#define EVIDENCE (now >= validity_end)
#elif defined(RELEASE_WHEN_ABSENT)
#define EVIDENCE (REPORTED == ABSENT)
#else
#define EVIDENCE                                                                                   \
    (REPORTED == ABSENT &&                                       \
     (REPORT_CLOCK >= validity_end ||                                                \
      REPORT_RESTARTED != known_restarted))
#endif
#define MAY_RELEASE                                                                                \
    (REPORTED == ENDED_STOPPED || gone[known_worker] || EVIDENCE)

#ifdef ACKNOWLEDGE_EARLY
#define MAY_ACKNOWLEDGE true
#else
#define MAY_ACKNOWLEDGE (REPORT_CLOCK >= validity_end)
#endif

/* Two families of faults, each searched whole by itself. STORE_FAULTS: two schedulers, one of which
   dies and comes back, answers that are lost, transactions that arrive late. Otherwise: one scheduler
   that dies and comes back, reports that are old, a worker that restarts and another that is lost.
   Pauses, late and repeated starts and the operator are part of both. */
#define MAY_DIE (s == 0 && incarnation == 0)
#ifdef STORE_FAULTS
#define WORKERS 1
#define MAY_FAIL(w) false
#define REPORTED status[AT(known_attempts, known_worker)]
#define REPORT_CLOCK now
#define REPORT_RESTARTED_OF(w) 0
#else
#define WORKERS 2
#define MAY_FAIL(w) (!restarted[w] && !gone[w])
#define REPORTED reported[AT(known_attempts, known_worker)]
#define REPORT_CLOCK report_clock[known_worker]
#define REPORT_RESTARTED_OF(w) report_restarted[w]
#endif
#define REPORT_RESTARTED REPORT_RESTARTED_OF(known_worker)

/* Phases of the task in the ledger. */
#define WAITING 0
#define ASSIGNED 1
#define FINISHED 2
#define MOVED 3

/* Status of an attempt on a worker; everything above RUNNING is kept until acknowledged. */
#define ABSENT 0
#define RUNNING 1
#define ENDED_FINISHED 2
#define ENDED_STOPPED 3

/* Kinds of transaction. */
#define TAKE 0
#define ASSIGN 1
#define RELEASE 2
#define FINISH 3
#define MOVE 4

/* Answers of the table. */
#define OK 0
#define CONFLICT 1
#define UNKNOWN 2
/* A scheduler's conclusion from a conflict: the lease is another's. */
#define LOST 3

#define NOBODY 255

typedef transaction_t {
    byte kind;
    byte version;   /* precondition: version of the lease row */
    byte config;    /* precondition of ASSIGN: version of the configuration head */
    byte incarnation; /* nonce, together with the scheduler's number */
    byte attempt;
    byte worker;
    bit checkpoint;
    bit restarted; /* incarnation of the worker */
};

/* Time, the same for all; rates of clocks are equal, offsets do not matter to the protocol. */
byte now = 0;

/* The table: lease row, fold of the log, configuration, inbox of the other failure domain. */
byte version = 0;
byte epoch = 0;
byte written_by = NOBODY; /* scheduler * 8 + incarnation */
byte phase = WAITING;
byte attempts = 0;
byte assigned_to = 0;
bit assigned_restarted = 0;
bit checkpoint = 0;
byte head = 1;
bit out = 0;
bit inbox = 0;
bit inbox_checkpoint = 0;
bit in_other_ledger = 0;

/* A transaction that may still arrive at the table after its sender gave up waiting. */
transaction_t late;
byte late_from = NOBODY;

/* Network: a start or acknowledgement that was sent may arrive at any time and repeatedly. */
byte start_before[ATS]; /* 0: not sent */
bit start_checkpoint[ATS];
bit start_restarted[ATS];
bit acknowledged[ATS];

/* Workers and their newest report, which the schedulers may read late. */
byte status[ATS];
bit gone[WORKERS];
bit restarted[WORKERS];
byte reported[ATS];
byte report_clock[WORKERS];
bit report_restarted[WORKERS];

/* For the properties only. */
bit running_elsewhere = 0;
bit ended[ATS];
bit saved = 0; /* the worker still reported a checkpoint when the attempt was released */
byte finished = 0;
byte out_since = 0;
byte i_at;

inline may_run(from)
{
    assert(!running_elsewhere);
    i_at = 0;
    do
    :: i_at < ATS -> assert(status[i_at] != RUNNING); i_at++
    :: else -> break
    od;
    i_at = 0;
    assert(from >= saved);
    assert(finished == 0)
}

inline copy(to, from)
{
    to.kind = from.kind;
    to.version = from.version;
    to.config = from.config;
    to.incarnation = from.incarnation;
    to.attempt = from.attempt;
    to.worker = from.worker;
    to.checkpoint = from.checkpoint;
    to.restarted = from.restarted
}

inline clear(t)
{
    t.kind = 0;
    t.version = 0;
    t.config = 0;
    t.incarnation = 0;
    t.attempt = 0;
    t.worker = 0;
    t.checkpoint = 0;
    t.restarted = 0
}

/* A late transaction whose precondition can never hold again has no effect; forgetting it makes
   equal situations equal states. */
inline drop_dead_late()
{
#if defined(STORE_FAULTS) && !defined(NO_FENCING)
    if
    :: late_from != NOBODY && late.version < version -> late_from = NOBODY; clear(late)
    :: else
    fi
#else
    skip
#endif
}

/* Applies a transaction of scheduler `s` when its preconditions hold. */
inline apply(s, t, result)
{
    d_step {
        if
#ifndef NO_FENCING
        :: t.version != version -> result = CONFLICT
#endif
#ifndef NO_CONFIG_PRECONDITION
        :: t.kind == ASSIGN && t.config != head -> result = CONFLICT
#endif
        :: else ->
            result = OK;
            version++;
            written_by = s * 8 + t.incarnation;
            if
            :: t.kind == TAKE -> epoch++
            :: t.kind == ASSIGN ->
                assert(phase == WAITING && t.attempt == attempts + 1);
                phase = ASSIGNED;
                attempts = t.attempt;
                assigned_to = t.worker;
                assigned_restarted = t.restarted
            :: t.kind == RELEASE ->
                assert(phase == ASSIGNED && t.attempt == attempts);
                phase = WAITING;
                if
                :: status[AT(attempts, assigned_to)] == ENDED_STOPPED -> saved = 1
                :: else
                fi;
                checkpoint = t.checkpoint
            :: t.kind == FINISH ->
                assert(phase == ASSIGNED && t.attempt == attempts);
                phase = FINISHED;
                finished++;
                assert(finished == 1)
            :: t.kind == MOVE ->
                assert(phase == WAITING);
                phase = MOVED;
#ifndef MOVE_IN_TWO_STEPS
                inbox = 1;
                inbox_checkpoint = checkpoint
#endif
            fi;
            assert((phase == MOVED) == (inbox || in_other_ledger));
            drop_dead_late()
        fi
    }
}

/* Applies the committed `mine` to the scheduler's own copy of the ledger. */
inline fold()
{
    known_version = mine.version + 1;
    if
    :: mine.kind == ASSIGN ->
        known_phase = ASSIGNED;
        known_attempts = mine.attempt;
        known_worker = mine.worker;
        known_restarted = mine.restarted
    :: mine.kind == RELEASE ->
        known_phase = WAITING;
        known_checkpoint = mine.checkpoint
    :: mine.kind == FINISH -> known_phase = FINISHED
    :: mine.kind == MOVE -> known_phase = MOVED
    :: mine.kind == TAKE -> /* recovery: the log up to the lease row's last index */
        known_phase = phase;
        known_attempts = attempts;
        known_worker = assigned_to;
        known_restarted = assigned_restarted;
        known_checkpoint = checkpoint;
        validity_end = now + START_VALIDITY
    fi
}

/* What scheduler `s` makes of a known answer: OK, CONFLICT (nothing was written, the lease is still
   its own) or LOST. */
inline interpret(s)
{
    d_step {
        if
        :: answer == CONFLICT ->
            if
#ifdef NO_READ_BACK
            :: was_unknown && written_by / 8 == s -> known_version = version
#else
            :: was_unknown && version == mine.version + 1 &&
               written_by == s * 8 + mine.incarnation -> answer = OK
#endif
            :: else ->
                if
                :: version != mine.version -> answer = LOST
                :: else
                fi
            fi
        :: else
        fi;
        if
        :: answer == OK -> fold()
        :: else
        fi;
        was_unknown = 0;
        clear(mine)
    }
}

/* Commits `mine`; leaves `answer` OK, CONFLICT or LOST. The same transaction is sent again until its
   outcome is known. */
inline commit(s)
{
    do
    :: atomic { apply(s, mine, answer); interpret(s); break }
#ifdef STORE_FAULTS
    :: atomic { apply(s, mine, answer); was_unknown = 1; answer = UNKNOWN }
    :: d_step { late_from == NOBODY -> copy(late, mine); late_from = s; was_unknown = 1 }
#endif
    od;
    skip
}

inline prepare(k)
{
    d_step {
        mine.kind = k;
        mine.version = known_version;
        mine.config = known_head;
        mine.incarnation = incarnation;
        mine.attempt = known_attempts;
        mine.checkpoint = known_checkpoint;
        if
        :: k == ASSIGN ->
            mine.attempt = known_attempts + 1;
            validity_end = now + START_VALIDITY
        :: k == RELEASE ->
#ifdef RELEASE_DROPS_CHECKPOINT
            mine.checkpoint = 0
#else
            if
            :: REPORTED == ENDED_STOPPED -> mine.checkpoint = 1
            :: else
            fi
#endif
        :: else
        fi
    }
}

/* Clears what does not last, so that equal situations are equal states. */
inline forget()
{
    d_step {
        known_version = 0;
        known_phase = 0;
        known_attempts = 0;
        known_worker = 0;
        known_restarted = 0;
        known_checkpoint = 0;
        validity_end = 0;
        answer = UNKNOWN;
        clear(mine)
    }
}

proctype scheduler(byte s)
{
    transaction_t mine;
    byte answer = UNKNOWN;
    bit was_unknown = 0;
    byte incarnation = 0;
    byte known_version = 0;
    byte known_phase = 0;
    byte known_attempts = 0;
    byte known_worker = 0;
    bit known_restarted = 0;
    bit known_checkpoint = 0;
    byte validity_end = 0; /* from this time on the assigned attempt cannot start any more */
    byte known_head = 1;
    bit known_out = 0;

observer:
    skip;
    forget();
end_observer:
    atomic { /* A pause may outlast a lease, so take-over may happen at any moment. */
        epoch < MAX_EPOCH && epoch >= s -> prepare(TAKE);
        known_version = version;
        mine.version = version
    }
    commit(s);
    if
    :: answer != OK -> goto observer
    :: else -> answer = UNKNOWN
    fi;

end_holder:
    do
    :: atomic {
        known_phase == WAITING && !known_out && known_attempts < MAX_ATTEMPTS ->
        if
        :: !gone[0] -> prepare(ASSIGN); mine.restarted = REPORT_RESTARTED_OF(0)
#if WORKERS > 1
        :: !gone[1] -> prepare(ASSIGN); mine.worker = 1 /* never restarts */
#endif
        fi
       }
        commit(s);
        if
        :: answer == OK ->
            /* The scheduler may pause here for any time, or die. */
            if
            :: d_step {
                start_before[AT(known_attempts, known_worker)] = validity_end;
                start_checkpoint[AT(known_attempts, known_worker)] = known_checkpoint;
                start_restarted[AT(known_attempts, known_worker)] = known_restarted;
                answer = UNKNOWN
               }
            :: MAY_DIE -> goto died
            fi
        :: answer == CONFLICT -> answer = UNKNOWN
        :: answer == LOST -> goto observer
        fi
    :: atomic { known_phase == ASSIGNED && REPORTED == ENDED_FINISHED -> prepare(FINISH) }
        commit(s);
        if
        :: answer == LOST -> goto observer
        :: else -> answer = UNKNOWN
        fi
    :: atomic { known_phase == ASSIGNED && MAY_RELEASE -> prepare(RELEASE) }
        commit(s);
        if
        :: answer == LOST -> goto observer
        :: else -> answer = UNKNOWN
        fi
    :: known_phase != ASSIGNED && known_attempts > 0 && MAY_ACKNOWLEDGE &&
       REPORTED > RUNNING &&
       !acknowledged[AT(known_attempts, known_worker)] ->
        acknowledged[AT(known_attempts, known_worker)] = 1
    :: atomic { known_phase == WAITING && known_out -> prepare(MOVE) }
        commit(s);
        if
        :: answer == LOST -> goto observer
        :: else -> answer = UNKNOWN
        fi
    :: d_step { known_head < head -> known_head = head; known_out = out }
    :: version != known_version -> goto observer
    :: MAY_DIE && epoch < MAX_EPOCH -> goto died
    od;

died:
    skip;
    d_step { incarnation++; known_head = 1; known_out = 0 }
    goto observer
}

/* Transactions that arrive, or are lost, after their sender gave up waiting. */
proctype late_arrivals()
{
    byte ignored;
end_late:
    do
    :: atomic {
        late_from != NOBODY ->
            if
            :: apply(late_from, late, ignored)
            :: skip
            fi;
            d_step { ignored = 0; late_from = NOBODY; clear(late) }
        }
    od
}

/* The check of the validity and the begin of the attempt are one step for the worker's reports. */
inline deliver_start(a, w)
{
    d_step {
        start_before[a] > 0 && status[a] == ABSENT && !gone[w] && IN_TIME(a) &&
        FOR_THIS_INCARNATION(a, w) ->
            assert(!ended[a]);
            assert(!out || now <= out_since + START_VALIDITY);
            may_run(start_checkpoint[a]);
            status[a] = RUNNING
    }
}

/* Ends by itself, or is stopped on order or because its own lease lapsed, with progress saved. */
inline end_attempt(a)
{
    d_step { status[a] == RUNNING -> status[a] = ENDED_FINISHED; ended[a] = 1 }
}
inline stop_attempt(a)
{
    d_step { status[a] == RUNNING -> status[a] = ENDED_STOPPED; ended[a] = 1 }
}

inline forget_attempt(a)
{
    d_step { status[a] > RUNNING && acknowledged[a] -> status[a] = ABSENT }
}

inline lose_attempts(w)
{
    status[AT(1, w)] = ABSENT;
    status[AT(2, w)] = ABSENT
}

proctype worker(byte w)
{
end_worker:
    do
    :: deliver_start(AT(1, w), w)
    :: deliver_start(AT(2, w), w)
    :: end_attempt(AT(1, w))
    :: end_attempt(AT(2, w))
    :: stop_attempt(AT(1, w))
    :: stop_attempt(AT(2, w))
    :: forget_attempt(AT(1, w))
    :: forget_attempt(AT(2, w))
#ifndef STORE_FAULTS
    :: d_step {
        !gone[w] && (report_clock[w] != now || reported[AT(1, w)] != status[AT(1, w)] ||
                     reported[AT(2, w)] != status[AT(2, w)]) ->
            reported[AT(1, w)] = status[AT(1, w)];
            reported[AT(2, w)] = status[AT(2, w)];
            report_restarted[w] = restarted[w];
            report_clock[w] = now
       }
#endif
    /* Restart as a new incarnation without tasks, or loss of the VM; each happens once. */
    :: d_step { MAY_FAIL(w) && w == 0 -> restarted[w] = 1; lose_attempts(w) }
    :: d_step { MAY_FAIL(w) && w == 1 -> gone[w] = 1; lose_attempts(w) }
    od
}

/* Takes the failure domain out; configuration.pml has racing operators. */
proctype operator()
{
    d_step { head++; out = 1; out_since = now }
}

/* The other failure domain: takes the task in, runs it, counts its end. */
proctype other_domain()
{
end_other:
    d_step {
        inbox -> inbox = 0; in_other_ledger = 1; may_run(inbox_checkpoint); running_elsewhere = 1
    }
    d_step { running_elsewhere = 0; finished++; assert(finished == 1) }
#ifdef COVER_FINISHED_ELSEWHERE
    assert(false)
#endif
}

/* A start past its validity has no effect; forgetting it makes equal situations equal states. */
inline expire_starts()
{
#ifdef NO_START_VALIDITY
    skip
#else
    i_at = 0;
    do
    :: i_at < ATS && start_before[i_at] <= now ->
        start_before[i_at] = 0;
        start_checkpoint[i_at] = 0;
        start_restarted[i_at] = 0;
        i_at++
    :: i_at < ATS && start_before[i_at] > now -> i_at++
    :: else -> break
    od;
    i_at = 0
#endif
}

proctype clock()
{
    do
    :: d_step { now < MAX_NOW -> now++; expire_starts() }
    :: now == MAX_NOW -> break
    od
}

#ifdef COVER_SECOND_ATTEMPT
proctype cover()
{
end_cover:
    phase == FINISHED && attempts == 2 && checkpoint && epoch == 2 -> assert(false)
}
#endif

init
{
    atomic {
        run scheduler(0);
#ifdef STORE_FAULTS
        run scheduler(1);
#endif
        run late_arrivals();
        run worker(0);
#if WORKERS > 1
        run worker(1);
#endif
#ifndef NO_OPERATOR
        run operator();
#endif
        run other_domain();
        run clock();
#ifdef COVER_SECOND_ATTEMPT
        run cover()
#endif
    }
}
