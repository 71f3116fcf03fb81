/*
 * Change and spread of the configuration: two operators race at two entry VMs, answers of the table
 * are lost, steps reach the VMs by polls and, late or out of order, from peers. README.md says what
 * is abstracted.
 *
 * Invariants, as assertions:
 *   - versions do not fork: all VMs have the same content at the same version (adopt);
 *   - no VM goes back to an older version (adopt);
 *   - each command is applied exactly once, and an accepted one stays (operator, at_the_end).
 */

#define VMS 2
#define MAX_VERSION 4
#define NOBODY 255

/* The table: head, and for each version the command that led to it and the sum of all so far. Each
   operator's command adds its own number to the content, so the content tells which were applied. */
byte head = 0;
byte changed_by[MAX_VERSION + 1];
byte content[MAX_VERSION + 1];

/* What each VM has adopted. */
byte known[VMS];
byte known_content[VMS];

/* A step on its way between VMs, as old as it may be; and a late transaction. */
byte relayed = 0;
byte late_nonce = NOBODY;
byte late_head = 0;

/* For the properties only. */
bit accepted[VMS];
byte ended = 0;

inline apply_change(nonce, from, result)
{
    d_step {
        if
#ifndef NO_HEAD_PRECONDITION
        :: head != from -> result = 0
#endif
        :: else ->
            head = from + 1;
            changed_by[head] = nonce;
            content[head] = content[from] + nonce;
            result = 1
        fi
    }
}

/* Takes step `v` in when it is the next one. */
inline adopt(m, v)
{
#if defined(ADOPT_OLDER)
    assert(v >= known[m]);
    known[m] = v;
    known_content[m] = content[known[m]];
#elif defined(ADOPT_WITH_GAP)
    if
    :: v > known[m] -> known[m] = v; known_content[m] = known_content[m] + changed_by[known[m]]
    :: else
    fi;
#else
    if
    :: v == known[m] + 1 -> known[m] = v; known_content[m] = known_content[m] + changed_by[known[m]]
    :: else
    fi;
#endif
    assert(known_content[m] == content[known[m]])
}

/* A command of one operator, taken by entry VM `m`; tried until it is accepted. */
proctype operator(byte m)
{
    byte from = 0;
    byte nonce = m + 1;
    bit done = 0;
    bit was_unknown = 0;

    do
    :: done -> break
    :: else ->
        from = head;
        do
        :: atomic { apply_change(nonce, from, done); break }
        :: atomic { apply_change(nonce, from, done); done = 0; was_unknown = 1 }
        :: d_step {
            late_nonce == NOBODY -> late_nonce = nonce; late_head = from; was_unknown = 1
           }
        od;
        skip;
        d_step { /* on conflict, read back the step after `from` */
            if
#ifndef NO_READ_BACK
            :: !done && was_unknown && head > from && changed_by[from + 1] == nonce -> done = 1
#endif
            :: else
            fi;
            was_unknown = 0
        }
    od;
    accepted[m] = 1;
    ended++
}

proctype late_arrivals()
{
    bit ignored;
end_late:
    do
    :: atomic {
        late_nonce != NOBODY ->
            apply_change(late_nonce, late_head, ignored);
            late_nonce = NOBODY;
            late_head = 0;
            ignored = 0
       }
    :: d_step { late_nonce != NOBODY -> late_nonce = NOBODY; late_head = 0 }
    od
}

proctype vm(byte m)
{
end_vm:
    do
    :: d_step { known[m] < head -> adopt(m, known[m] + 1) } /* poll */
    :: d_step { known[m] > 0 && relayed == 0 -> relayed = known[m] }
    :: d_step { relayed != 0 -> adopt(m, relayed); relayed = 0 }
    od
}

proctype at_the_end()
{
    d_step {
        ended == VMS ->
            assert(accepted[0] && accepted[1]);
            assert(head == VMS && content[head] == 1 + 2)
    }
#ifdef COVER_ALL_ADOPTED
    known[0] == VMS && known[1] == VMS -> assert(false)
#endif
}

init
{
    atomic {
        run operator(0);
        run operator(1);
        run late_arrivals();
        run vm(0);
        run vm(1);
        run at_the_end()
    }
}
