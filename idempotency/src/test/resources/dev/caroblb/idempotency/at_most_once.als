/*
 * Model of one idempotency key, several attempts of several entries, and a key group whose leader can
 * fail. Sent messages are never removed, which covers duplication, delay and reordering; a lost message
 * is one that is never received. Each action names the Java method that it models.
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
  var proposed: Kind -> Attempt,  /* proposed by the leader, not committed */
  var holder: lone Attempt,       /* committed reservation */
  var done: lone Attempt,         /* committed outcome */
  var releasedAttempt: lone Attempt  /* attempt whose release is recorded */
}

pred init {
  phase = Attempt -> Idle
  Alive = Entry
  no Written
  no sent and no granted and no released
  no proposed and no holder and no done and no releasedAttempt
}

pred entriesUnchanged { phase' = phase and Alive' = Alive and Written' = Written }
pred netUnchanged { sent' = sent and granted' = granted and released' = released }
pred groupUnchanged { proposed' = proposed and holder' = holder and done' = done and releasedAttempt' = releasedAttempt }
pred recordUnchanged { holder' = holder and done' = done and releasedAttempt' = releasedAttempt }

pred changePhase[a: Attempt, from: set Phase, to: Phase] {
  a.entry in Alive
  a.phase in from
  phase' = phase ++ a -> to
  Alive' = Alive
}

pred sendRequest[k: Kind, a: Attempt] {
  sent' = sent + Net -> k -> a
  granted' = granted and released' = released
}

/* EntryRole.begin */
pred begin[a: Attempt] {
  changePhase[a, Idle, Reserving] and sendRequest[Reserve, a]
  Written' = Written and groupUnchanged
}

/* LeaderRole.request */
pred propose[k: Kind, a: Attempt] {
  k -> a in Net.sent
  proposed' = proposed + Group -> k -> a
  recordUnchanged and entriesUnchanged and netUnchanged
}

/* KeyTable.reserve */
pred commitReserve[a: Attempt] {
  Reserve -> a in Group.proposed
  proposed' = proposed - Group -> Reserve -> a
  (no Group.holder and no Group.done and a not in Group.releasedAttempt)
    implies (holder' = Group -> a and no releasedAttempt')
    else (holder' = holder and releasedAttempt' = releasedAttempt)
  granted' = granted + (Group.holder' = a implies Net -> a else none -> none)
  done' = done
  sent' = sent and released' = released and entriesUnchanged
}

/* KeyTable.store */
pred commitRecord[a: Attempt] {
  Record -> a in Group.proposed
  proposed' = proposed - Group -> Record -> a
  Group.holder = a implies (done' = Group -> a and no holder')
    else (done' = done and holder' = holder)
  releasedAttempt' = releasedAttempt and netUnchanged and entriesUnchanged
}

/* KeyTable.release; if another attempt holds or completed the key, the result is "not holder" */
pred commitRelease[a: Attempt] {
  Release -> a in Group.proposed
  proposed' = proposed - Group -> Release -> a
  (Group.holder in a and no Group.done) implies {
    no holder'
    releasedAttempt' = (some Group.releasedAttempt implies releasedAttempt else Group -> a)
    released' = released + Net -> a
  } else {
    holder' = holder and releasedAttempt' = releasedAttempt and released' = released
  }
  done' = done
  sent' = sent and granted' = granted and entriesUnchanged
}

/* Failover of the leader: the agreement module may lose any subset of the uncommitted proposals. */
pred failover {
  proposed' in proposed
  recordUnchanged and entriesUnchanged and netUnchanged
}

/* EntryRole.handleReserveAnswer */
pred learnGrant[a: Attempt] {
  a in Net.granted
  changePhase[a, Reserving, Granted]
  Written' = Written and netUnchanged and groupUnchanged
}

/* The streams duty receives KeyDecision.Granted and writes the call to the target. */
pred dispatch[a: Attempt] {
  changePhase[a, Granted, Dispatched]
  Written' = Written + a and netUnchanged and groupUnchanged
}

/* EntryRole.finished */
pred finish[a: Attempt] {
  changePhase[a, Dispatched, Recording] and sendRequest[Record, a]
  Written' = Written and groupUnchanged
}

/* EntryRole.nothingSent, and EntryRole.expire for a reservation that timed out */
pred giveUp[a: Attempt] {
  changePhase[a, Reserving + Granted, Releasing] and sendRequest[Release, a]
  Written' = Written and groupUnchanged
}

/* EntryRole.finishRelease */
pred reportNotRun[a: Attempt] {
  a in Net.released
  changePhase[a, Releasing, NotRun]
  Written' = Written and netUnchanged and groupUnchanged
}

/* Crash of an entry. A restarted entry has a new incarnation and therefore new attempts. */
pred crash[e: Entry] {
  e in Alive
  Alive' = Alive - e
  phase' = phase and Written' = Written and netUnchanged and groupUnchanged
}

pred stutter { entriesUnchanged and netUnchanged and groupUnchanged }

pred step {
  stutter or failover
  or (some e: Entry | crash[e])
  or (some k: Kind, a: Attempt | propose[k, a])
  or (some a: Attempt |
    begin[a] or commitReserve[a] or commitRecord[a] or commitRelease[a] or learnGrant[a]
    or dispatch[a] or finish[a] or giveUp[a] or reportNotRun[a])
}

/* Mutant of LeaderRole.request: it answers before the reservation is committed. */
pred answerEarly[a: Attempt] {
  Reserve -> a in Net.sent
  no Group.holder and no Group.done
  proposed' = proposed + Group -> Reserve -> a
  granted' = granted + Net -> a
  sent' = sent and released' = released and recordUnchanged and entriesUnchanged
}

/* Mutant of EntryRole.nothingSent: it releases after the call was written to the target. */
pred releaseAfterWrite[a: Attempt] {
  changePhase[a, Dispatched, Releasing] and sendRequest[Release, a]
  Written' = Written and groupUnchanged
}

/* Mutant of KeyTable.reserve: it grants a key that another attempt holds. */
pred grantHeld[a: Attempt] {
  Reserve -> a in Group.proposed
  proposed' = proposed - Group -> Reserve -> a
  holder' = Group -> a and done' = done and releasedAttempt' = releasedAttempt
  granted' = granted + Net -> a
  sent' = sent and released' = released and entriesUnchanged
}

/* Mutant of EntryRole.nothingSent: it reports "not run" in any phase, without a release. */
pred reportEarly[a: Attempt] {
  changePhase[a, Reserving + Granted + Dispatched, NotRun]
  Written' = Written and netUnchanged and groupUnchanged
}

pred correct { init and always step }
pred answersEarly { init and always (step or some a: Attempt | answerEarly[a]) }
pred releasesAfterWrite { init and always (step or some a: Attempt | releaseAfterWrite[a]) }
pred grantsHeld { init and always (step or some a: Attempt | grantHeld[a]) }
pred reportsEarly { init and always (step or some a: Attempt | reportEarly[a]) }

/* The call is written to the target at most once. */
pred atMostOnce { always lone Written }

/* "Not run" is never reported for a dispatched attempt. */
pred notRunIsSound {
  always (all a: Attempt | a.phase = NotRun implies a not in Written)
}

/* A release succeeds only if no attempt had dispatched the call. */
pred releaseIsSound {
  always (all a: Net.released' - Net.released | no Written)
}

/* A dispatched attempt holds the key until its outcome is stored. */
pred dispatchedIsHeld {
  always (all a: Written | a in Group.holder + Group.done)
}

atMostOnceHolds: check { correct implies atMostOnce } for 3 but 2 Entry, 12 steps
atMostOnceHoldsForLongerRuns: check { correct implies atMostOnce } for 2 but 14 steps
notRunHolds: check { correct implies (notRunIsSound and releaseIsSound) } for 3 but 2 Entry, 10 steps
dispatchedHolds: check { correct implies dispatchedIsHeld } for 3 but 2 Entry, 10 steps
answerEarlyFails: check { answersEarly implies atMostOnce } for 2 but 12 steps
releaseAfterWriteFails: check { releasesAfterWrite implies atMostOnce } for 2 but 14 steps
grantHeldFails: check { grantsHeld implies atMostOnce } for 2 but 12 steps
reportEarlyFails: check { reportsEarly implies notRunIsSound } for 2 but 8 steps

/* The model is not vacuous: a second attempt can run after the first was released. */
secondAttemptRuns: run {
  correct
  eventually (some disj a, b: Attempt | a.phase = NotRun and b in Group.done)
} for 2 but 16 steps
