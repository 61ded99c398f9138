/*
 * Model of the configuration leases. A number that was declared in force is in force on all
 * entries, and no entry returns to a smaller number. Time is abstract: a lease or a grant in flight
 * can end at any step, and a step that waits for a full lease (plus 1% for clock drift) is possible
 * only after all the leases and grants concerned have ended.
 */
module in_force

open util/ordering[Number] as numbers
open util/ordering[Term] as terms

sig Number {}
sig Term {}

sig Entry {
  // EntryRole: the installed number.
  var installed: one Number,
  // EntryRole: terms of the leaders whose grants keep its lease valid; without any, the entry
  // admits no new calls.
  var lease: set Term
}

one sig Control {
  var term: one Term,
  // ConfigurationState as committed on a majority of replicas.
  var accepted: one Number,
  // ConfigurationState as applied by the leader, LeaderRole.state.
  var known: one Number,
  // LeaseHolders: the acknowledged number of each entry that was granted a lease in this term.
  var holders: Entry -> lone Number,
  // RenewAnswer messages in flight, which can be delivered more than once.
  var grants: Entry -> Number -> Term,
  var inForce: one Number
}

// LeaderRole: the state of the leader has reached the barrier.
var sig Ready in Control {}
// LeaseHolders: a new leader still waits for leases of earlier leaders to end.
var sig Waiting in Control {}

// Each of these marks a mutant of the protocol in which one rule is missing.
sig SkipsWait, InstallsSmaller, SkipsBarrier in Control {}

pred init {
  installed = Entry -> numbers/first
  no lease and no holders and no grants
  Control.term = terms/first
  Control.accepted = numbers/first and Control.known = numbers/first
  Control.inForce = numbers/first
  some Ready and no Waiting
}

pred entriesKept { installed' = installed and lease' = lease }
pred leaderKept { term' = term and known' = known and Ready' = Ready and Waiting' = Waiting }

// PublishCoordinator.publishForwarded, ConfigurationState.accept.
pred publish {
  some Ready
  some numbers/next[Control.accepted]
  Control.accepted' = numbers/next[Control.accepted]
  Control.known' = Control.accepted'
  term' = term and Ready' = Ready and Waiting' = Waiting
  entriesKept and holders' = holders and grants' = grants and inForce' = inForce
}

// LeaderRole.renewalRequested, LeaseHolders.recordGrant.
pred grant[e: Entry] {
  some Ready or some SkipsBarrier
  Control.grants' = Control.grants + e -> Control.known -> Control.term
  Control.holders' = Control.holders ++ e -> e.installed
  entriesKept and leaderKept and accepted' = accepted and inForce' = inForce
}

// EntryRole.renewalAnswered.
pred receive[e: Entry, n: Number, t: Term] {
  e -> n -> t in Control.grants
  some InstallsSmaller
    implies e.installed' = n
    else e.installed' = numbers/max[n + e.installed]
  all o: Entry - e | o.installed' = o.installed
  lease' = lease + e -> t
  leaderKept and accepted' = accepted and inForce' = inForce
  holders' = holders and grants' = grants
}

// EntryView.admitsAt: the lease has expired on the entry's clock.
pred leaseEnds[e: Entry, t: Term] {
  t in e.lease
  lease' = lease - e -> t
  installed' = installed
  leaderKept and accepted' = accepted and inForce' = inForce
  holders' = holders and grants' = grants
}

// EntryRole.renewalAnswered ignores an answer whose request was sent longer than a lease ago.
pred grantLost[e: Entry, n: Number, t: Term] {
  e -> n -> t in Control.grants
  Control.grants' = Control.grants - e -> n -> t
  entriesKept and leaderKept and accepted' = accepted and inForce' = inForce
  holders' = holders
}

// LeaseHolders.recordInstalled.
pred acknowledge[e: Entry] {
  some Control.holders[e]
  Control.holders' = Control.holders ++ e -> e.installed
  entriesKept and leaderKept and accepted' = accepted and inForce' = inForce
  grants' = grants
}

// LeaseHolders.inForce drops a holder whose lease, plus 1%, has expired on the leader's clock.
pred forget[e: Entry] {
  some Control.holders[e]
  Control.term not in e.lease
  no Control.grants[e].(Control.term)
  Control.holders' = Control.holders - e -> Number
  entriesKept and leaderKept and accepted' = accepted and inForce' = inForce
  grants' = grants
}

// PublishCoordinator.tick.
pred declare[n: Number] {
  some Ready and no Waiting
  numbers/lte[n, Control.known] and numbers/gt[n, Control.inForce]
  all e: Control.holders.Number | numbers/lte[n, Control.holders[e]]
  Control.inForce' = n
  entriesKept and leaderKept and accepted' = accepted
  holders' = holders and grants' = grants
}

// LeaderRole.leaseChanged: the new leader may not have applied all committed commands yet.
pred changeLeader {
  some terms/next[Control.term]
  Control.term' = terms/next[Control.term]
  numbers/lte[Control.known', Control.accepted]
  no holders'
  no Ready'
  some SkipsWait implies no Waiting' else some Waiting'
  entriesKept and accepted' = accepted and inForce' = inForce and grants' = grants
}

// LeaderRole.barrierFinished.
pred passBarrier {
  no Ready and some Ready'
  Control.known' = Control.accepted
  term' = term and Waiting' = Waiting
  entriesKept and accepted' = accepted and inForce' = inForce
  holders' = holders and grants' = grants
}

// LeaseHolders.inForce after the wait: all leases of earlier terms have expired.
pred endWait {
  some Waiting and no Waiting'
  Entry.lease in Control.term
  Number.(Entry.(Control.grants)) in Control.term
  term' = term and known' = known and Ready' = Ready
  entriesKept and accepted' = accepted and inForce' = inForce
  holders' = holders and grants' = grants
}

// ConfigurationHandler of a new process of an entry, which stores nothing. Its new incarnation
// makes it ignore answers to the old process. LeaseHolders keeps the old process until its lease
// has expired, which only delays declare.
pred restart[e: Entry] {
  e.installed' = numbers/first
  all o: Entry - e | o.installed' = o.installed
  lease' = lease - e -> Term
  Control.grants' = Control.grants - e -> Number -> Term
  Control.holders' = Control.holders - e -> Number
  leaderKept and accepted' = accepted and inForce' = inForce
}

pred idle {
  entriesKept and leaderKept and accepted' = accepted and inForce' = inForce
  holders' = holders and grants' = grants
}

pred behaviour {
  init
  always (
    publish or changeLeader or passBarrier or endWait or idle
    or (some e: Entry | grant[e] or acknowledge[e] or forget[e] or restart[e])
    or (some e: Entry, t: Term | leaseEnds[e, t])
    or (some e: Entry, n: Number, t: Term | receive[e, n, t] or grantLost[e, n, t])
    or (some n: Number | declare[n]))
}

pred correct { no SkipsWait and no InstallsSmaller and no SkipsBarrier }

// No entry admits calls under a number smaller than one declared in force.
pred inForceEverywhere {
  always all e: Entry | some e.lease implies numbers/gte[e.installed, Control.inForce]
}

// The installed number of an entry decreases only when its process restarts.
pred neverReverts {
  always all e: Entry | restart[e] or numbers/gte[e.installed', e.installed]
}

assert InForceEverywhere { (correct and behaviour) implies inForceEverywhere }
check InForceEverywhere for 2 Entry, 3 Number, 2 Term, 9 steps

assert NeverReverts { (correct and behaviour) implies neverReverts }
check NeverReverts for 2 Entry, 3 Number, 2 Term, 8 steps

// A new leader that does not wait misses an entry that still has a lease of its predecessor.
assert MutantSkipsWait {
  (behaviour and some SkipsWait and no InstallsSmaller and no SkipsBarrier)
    implies inForceEverywhere
}
check MutantSkipsWait for 2 Entry, 3 Number, 2 Term, 8 steps

// An entry installs a smaller number from a late answer of an earlier leader.
assert MutantInstallsSmaller {
  (behaviour and some InstallsSmaller and no SkipsWait and no SkipsBarrier) implies neverReverts
}
check MutantInstallsSmaller for 2 Entry, 3 Number, 2 Term, 8 steps

// A new leader grants leases before it has applied all committed commands.
assert MutantSkipsBarrier {
  (behaviour and some SkipsBarrier and no SkipsWait and no InstallsSmaller)
    implies inForceEverywhere
}
check MutantSkipsBarrier for 2 Entry, 3 Number, 2 Term, 8 steps

// Shows that the model permits behaviour: one entry is cut off and loses its lease, while another
// goes on under a new leader.
run CutOffEntry {
  correct and behaviour
  some disj a, b: Entry | eventually (
    no a.lease and some b.lease and b.installed = Control.inForce
    and numbers/gt[Control.inForce, a.installed] and terms/gt[Control.term, terms/first])
} for 2 Entry, 2 Number, 2 Term, 12 steps
