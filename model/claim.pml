/*
 * At most once: one non-idempotent request, sent by its caller to two entry VMs and again after a
 * refusal. Each entry VM claims it by a row before its one dispatch. README.md says what is
 * abstracted.
 *
 * Invariants, as assertions:
 *   - the request runs at most once (runner);
 *   - an answer "not run" is true, now and later, and its claim is released (answer_not_run);
 *   - a stored answer is the request's own (entry_vm).
 */

#define TRIES 2 /* per entry VM */
#define ENTRIES 2
#define DISPATCHES (ENTRIES * TRIES)
#define NOBODY 255

/* Claim row. Version 0: absent; a row's version is the table's revision at its last write. */
byte revision = 0;
byte row_version = 0;
byte row_nonce = NOBODY;
bit row_done = 0;

/* A claim that may still arrive at the table after its sender gave up waiting. */
byte late_nonce = NOBODY;

/* Dispatches and what comes back. */
#define NOT_SENT 0
#define IN_FLIGHT 1
#define HANDLED 2
byte dispatch[DISPATCHES];
#define NO_RESPONSE 0
#define ANSWERED 1
#define REFUSED 2
byte response[DISPATCHES];

/* For the properties only. */
byte runs = 0;
bit ran[DISPATCHES];
bit released[DISPATCHES];
bit told_not_run[DISPATCHES];

#ifdef REUSE_NONCE
#define NONCE (e)
#else
#define NONCE (e * TRIES + try)
#endif

/* Writes the claim when the row is absent. */
inline apply_claim(nonce, done)
{
    d_step {
        if
#ifndef NO_CLAIM_PRECONDITION
        :: row_version != 0 -> done = 0
#endif
        :: else ->
            revision++;
            row_version = revision;
            row_nonce = nonce;
            row_done = 0;
            done = 1
        fi
    }
}

inline answer_not_run()
{
    d_step {
        assert(!ran[e * TRIES + try]);
        assert(released[e * TRIES + try]);
        told_not_run[e * TRIES + try] = 1
    }
}

proctype entry_vm(byte e)
{
    byte try = 0;
    byte version = 0;
    bit done = 0;
    bit was_unknown = 0;

    do
    :: try < TRIES ->
#ifdef DISPATCH_BEFORE_CLAIM
        dispatch[e * TRIES + try] = IN_FLIGHT;
#endif
        /* Claim; the same transaction again until its outcome is known. */
        do
        :: atomic { apply_claim(NONCE, done); break }
        :: atomic { apply_claim(NONCE, done); done = 0; was_unknown = 1 }
        :: d_step { late_nonce == NOBODY -> late_nonce = NONCE; was_unknown = 1 }
        :: goto next
        od;
        skip;
        d_step {
            if
#ifdef ASSUME_COMMITTED
            :: !done && was_unknown -> done = 1
#else
            :: !done && row_nonce == NONCE && !row_done -> done = 1 /* read back */
#endif
            :: else
            fi;
            version = row_version
        }
        if
        :: !done ->
            /* Another's: its stored answer, or "outcome unknown". */
            assert(!row_done || runs == 1);
            goto next
        :: else
        fi;
        if
        :: goto next
        :: dispatch[e * TRIES + try] = IN_FLIGHT
        fi;
        if
        :: response[e * TRIES + try] == ANSWERED ->
            if
            :: d_step { row_version == version -> revision++; row_version = revision; row_done = 1 }
            :: skip /* store unavailable: the claim stays, repeats are told "outcome unknown" */
            :: goto next
            fi
        :: response[e * TRIES + try] == REFUSED ->
#ifdef ANSWER_NOT_RUN_BEFORE_RELEASE
            answer_not_run();
#endif
            if
            :: d_step {
                if
                :: row_version == version ->
                    revision++;
                    row_version = 0;
                    row_nonce = NOBODY;
                    released[e * TRIES + try] = 1
                :: else -> assert(false)
                fi
               }
#ifndef ANSWER_NOT_RUN_BEFORE_RELEASE
               answer_not_run()
#endif
            :: skip /* not released: answered as "outcome unknown" */
            :: goto next
            fi
        :: skip -> /* no answer in time: "outcome unknown", the claim stays */
#ifdef DISPATCH_AGAIN_AFTER_LOSS
            dispatch[e * TRIES + try] = IN_FLIGHT
#endif
#ifdef NOT_RUN_AFTER_LOSS
            d_step { row_version = 0; row_nonce = NOBODY; released[e * TRIES + try] = 1 };
            answer_not_run()
#endif
        :: goto next
        fi;
next:   /* also a new process on this VM after its end: another nonce */
        skip;
        d_step { try++; done = 0; was_unknown = 0; version = 0 }
    :: else -> break
    od
}

/* Whatever was dispatched is run or refused once for each sending, and answered, at any time. */
proctype runner(byte d)
{
end_runner:
    do
    :: d_step {
        dispatch[d] == IN_FLIGHT ->
            dispatch[d] = HANDLED;
            assert(!told_not_run[d]);
            ran[d] = 1;
            runs++;
            assert(runs == 1);
            response[d] = ANSWERED
       }
    :: d_step { dispatch[d] == IN_FLIGHT -> dispatch[d] = HANDLED; response[d] = REFUSED }
    od
}

proctype late_arrivals()
{
    bit ignored;
end_late:
    do
    :: atomic {
        late_nonce != NOBODY -> apply_claim(late_nonce, ignored); late_nonce = NOBODY; ignored = 0
       }
    :: d_step { late_nonce != NOBODY -> late_nonce = NOBODY }
    od
}

#ifdef COVER_RUN_AFTER_REFUSAL
proctype cover()
{
end_cover:
    runs == 1 && told_not_run[0] && told_not_run[1] && row_done -> assert(false)
}
#endif

init
{
    atomic {
        run entry_vm(0);
        run entry_vm(1);
        run runner(0);
        run runner(1);
        run runner(2);
        run runner(3);
        run late_arrivals();
#ifdef COVER_RUN_AFTER_REFUSAL
        run cover()
#endif
    }
}
