/*
 * One idempotency key, several attempts of several entries, a key group whose leader can fail.
 * Messages are never removed, so that they can be duplicated, delayed and reordered; a message that
 * nobody receives was lost. Each action names the Java method that it stands for.
 */
module at_most_once

enum Kind { Reserve, Record, Release }

enum Phase { Idle, Reserving, Granted, Dispatched, Recording, Releasing, NotRun }

sig Entry {}

sig Attempt {
  entry: one Entry,
  var phase: one Phase
}

var sig Alive in Entry {}

/* Attempts whose call was written to the target. */
var sig Written in Attempt {}

one sig Net {
  var sent: Kind -> Attempt,      /* requests of entries */
  var granted: set Attempt,       /* answers "granted" */
  var released: set Attempt       /* answers "released" */
}

one sig Group {
  var proposed: Kind -> Attempt,  /* appended by the leader, not committed */
  var holder: lone Attempt,       /* committed reservation */
  var done: lone Attempt,         /* committed outcome */
  var withdrawn: lone Attempt     /* attempt whose release the record keeps */
}

pred init {
  phase = Attempt -> Idle
  Alive = Entry
  no Written
  no sent and no granted and no released
  no proposed and no holder and no done and no withdrawn
}

pred entrySame { phase' = phase and Alive' = Alive and Written' = Written }
pred netSame { sent' = sent and granted' = granted and released' = released }
pred groupSame { proposed' = proposed and holder' = holder and done' = done and withdrawn' = withdrawn }
pred recordsSame { holder' = holder and done' = done and withdrawn' = withdrawn }

pred move[a: Attempt, from: set Phase, to: Phase] {
  a.entry in Alive
  a.phase in from
  phase' = phase ++ a -> to
  Alive' = Alive
}

pred ask[k: Kind, a: Attempt] {
  sent' = sent + Net -> k -> a
  granted' = granted and released' = released
}

/* EntryRole.begin */
pred begin[a: Attempt] {
  move[a, Idle, Reserving] and ask[Reserve, a]
  Written' = Written and groupSame
}

/* LeaderRole.request */
pred propose[k: Kind, a: Attempt] {
  k -> a in Net.sent
  proposed' = proposed + Group -> k -> a
  recordsSame and entrySame and netSame
}

/* KeyTable.reserve */
pred commitReserve[a: Attempt] {
  Reserve -> a in Group.proposed
  proposed' = proposed - Group -> Reserve -> a
  (no Group.holder and no Group.done and a not in Group.withdrawn)
    implies (holder' = Group -> a and no withdrawn')
    else (holder' = holder and withdrawn' = withdrawn)
  granted' = granted + (Group.holder' = a implies Net -> a else none -> none)
  done' = done
  sent' = sent and released' = released and entrySame
}

/* KeyTable.store */
pred commitRecord[a: Attempt] {
  Record -> a in Group.proposed
  proposed' = proposed - Group -> Record -> a
  Group.holder = a implies (done' = Group -> a and no holder')
    else (done' = done and holder' = holder)
  withdrawn' = withdrawn and netSame and entrySame
}

/* KeyTable.release; a record held or done by another attempt answers "not holder" */
pred commitRelease[a: Attempt] {
  Release -> a in Group.proposed
  proposed' = proposed - Group -> Release -> a
  (Group.holder in a and no Group.done) implies {
    no holder'
    withdrawn' = (some Group.withdrawn implies withdrawn else Group -> a)
    released' = released + Net -> a
  } else {
    holder' = holder and withdrawn' = withdrawn and released' = released
  }
  done' = done
  sent' = sent and granted' = granted and entrySame
}

/* Failover of the leader: any part of what was not committed is lost (agreement). */
pred failover {
  proposed' in proposed
  recordsSame and entrySame and netSame
}

/* EntryRole.reserveAnswered */
pred learnGrant[a: Attempt] {
  a in Net.granted
  move[a, Reserving, Granted]
  Written' = Written and netSame and groupSame
}

/* The streams duty, told KeyDecision.Granted, writes to the target. */
pred dispatch[a: Attempt] {
  move[a, Granted, Dispatched]
  Written' = Written + a and netSame and groupSame
}

/* EntryRole.finished */
pred finish[a: Attempt] {
  move[a, Dispatched, Recording] and ask[Record, a]
  Written' = Written and groupSame
}

/* EntryRole.nothingSent, and EntryRole.expire for a reservation without an answer */
pred giveUp[a: Attempt] {
  move[a, Reserving + Granted, Releasing] and ask[Release, a]
  Written' = Written and groupSame
}

/* EntryRole.endRelease */
pred tellNotRun[a: Attempt] {
  a in Net.released
  move[a, Releasing, NotRun]
  Written' = Written and netSame and groupSame
}

/* Death of an entry; a restarted one has another incarnation and so other attempts. */
pred die[e: Entry] {
  e in Alive
  Alive' = Alive - e
  phase' = phase and Written' = Written and netSame and groupSame
}

pred stutter { entrySame and netSame and groupSame }

pred step {
  stutter or failover
  or (some e: Entry | die[e])
  or (some k: Kind, a: Attempt | propose[k, a])
  or (some a: Attempt |
    begin[a] or commitReserve[a] or commitRecord[a] or commitRelease[a] or learnGrant[a]
    or dispatch[a] or finish[a] or giveUp[a] or tellNotRun[a])
}

/* Mutant of LeaderRole.request: it answers before the reservation is committed. */
pred answerEarly[a: Attempt] {
  Reserve -> a in Net.sent
  no Group.holder and no Group.done
  proposed' = proposed + Group -> Reserve -> a
  granted' = granted + Net -> a
  sent' = sent and released' = released and recordsSame and entrySame
}

/* Mutant of EntryRole.nothingSent: it releases after the call was written to the target. */
pred releaseAfterWrite[a: Attempt] {
  move[a, Dispatched, Releasing] and ask[Release, a]
  Written' = Written and groupSame
}

/* Mutant of KeyTable.reserve: it grants a key that another attempt holds. */
pred grantHeld[a: Attempt] {
  Reserve -> a in Group.proposed
  proposed' = proposed - Group -> Reserve -> a
  holder' = Group -> a and done' = done and withdrawn' = withdrawn
  granted' = granted + Net -> a
  sent' = sent and released' = released and entrySame
}

/* Mutant of EntryRole.nothingSent: it tells "not run" in any phase, without a release. */
pred tellEarly[a: Attempt] {
  move[a, Reserving + Granted + Dispatched, NotRun]
  Written' = Written and netSame and groupSame
}

pred correct { init and always step }
pred early { init and always (step or some a: Attempt | answerEarly[a]) }
pred late { init and always (step or some a: Attempt | releaseAfterWrite[a]) }
pred foreign { init and always (step or some a: Attempt | grantHeld[a]) }
pred hasty { init and always (step or some a: Attempt | tellEarly[a]) }

/* The target sees the key at most once. */
pred atMostOnce { always lone Written }

/* "Not run" is never told for an attempt that was dispatched. */
pred notRunIsTrue {
  always (all a: Attempt | a.phase = NotRun implies a not in Written)
}

/* A release is answered only if nobody had dispatched the call. */
pred releaseIsTrue {
  always (all a: Net.released' - Net.released | no Written)
}

/* A granted attempt that is not withdrawn holds the key until its outcome is stored. */
pred dispatchedIsHeld {
  always (all a: Written | a in Group.holder + Group.done)
}

atMostOnceHolds: check { correct implies atMostOnce } for 3 but 2 Entry, 12 steps
atMostOnceHoldsForLongerRuns: check { correct implies atMostOnce } for 2 but 14 steps
notRunHolds: check { correct implies (notRunIsTrue and releaseIsTrue) } for 3 but 2 Entry, 10 steps
dispatchedHolds: check { correct implies dispatchedIsHeld } for 3 but 2 Entry, 10 steps
answerEarlyFails: check { early implies atMostOnce } for 2 but 12 steps
releaseAfterWriteFails: check { late implies atMostOnce } for 2 but 14 steps
grantHeldFails: check { foreign implies atMostOnce } for 2 but 12 steps
tellEarlyFails: check { hasty implies notRunIsTrue } for 2 but 8 steps

/* The model is not empty: a second attempt can run after the first was released. */
secondRuns: run {
  correct
  eventually (some disj a, b: Attempt | a.phase = NotRun and b in Group.done)
} for 2 but 16 steps
