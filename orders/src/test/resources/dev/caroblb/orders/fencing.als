/*
 * Orders with fencing tokens. An order can be delayed in a stalled connection and arrive after its
 * leader was replaced. Some engines check tokens, others ignore them.
 */
module fencing

open util/ordering[Term] as terms

sig Term {}

sig Order { term: one Term, token: one Term, engine: one Engine }

sig Engine {
  // EngineState.fencing: the greatest token that the engine has accepted.
  var accepted: lone Term,
  // Term of the order that took effect last, and the greatest such term so far.
  var effective: lone Term,
  var newest: lone Term,
  // EngineRecord: term of the late order that the leader found and has to correct.
  var found: lone Term
}

// Engines that check the token of an order.
sig ChecksTokens in Engine {}

one sig Control {
  var current: one Term,
  // Orders that were issued, and those still held by a connection.
  var issued: set Order,
  var inFlight: set Order,
  // Terms whose lease and order limit have not expired: their leaders may still send orders.
  var mayStillSend: set Term,
  // OrdersHandler.readFromMs: terms whose leader waits until no earlier one may send, or was
  // replaced while it waited.
  var waiting: set Term
}

// Faults that the mutants introduce.
sig SkipsWait, AcceptsAnyToken, RepeatsToken in Control {}

pred init {
  no accepted and no effective and no newest and no found and no issued and no inFlight
  Control.current = terms/first
  Control.mayStillSend = terms/first
  no waiting
}

pred enginesKept {
  accepted' = accepted and effective' = effective and newest' = newest and found' = found
}

// OrdersHandler.issue; the term is the token.
pred issue[o: Order] {
  o not in Control.issued
  o.term in Control.mayStillSend
  o.term not in Control.waiting
  issued' = issued + Control -> o
  inFlight' = inFlight + Control -> o
  enginesKept and current' = current and mayStillSend' = mayStillSend and waiting' = waiting
}

// The engine accepts an order, possibly long after its leader was replaced.
pred accept[o: Order] {
  o in Control.inFlight
  let e = o.engine {
    (e in ChecksTokens and no AcceptsAnyToken)
      implies (no e.accepted or terms/gte[o.token, e.accepted])
    e.accepted' = (e in ChecksTokens implies terms/max[e.accepted + o.token] else e.accepted)
    e.effective' = o.term
    e.newest' = terms/max[e.newest + o.term]
    all other: Engine - e | other.accepted' = other.accepted
      and other.effective' = other.effective and other.newest' = other.newest
  }
  found' = found
  inFlight' = inFlight - Control -> o
  issued' = issued and current' = current and mayStillSend' = mayStillSend and waiting' = waiting
}

// The connection is closed at the time limit and the order never arrives.
pred drop[o: Order] {
  o in Control.inFlight
  inFlight' = inFlight - Control -> o
  enginesKept and issued' = issued and current' = current
  mayStillSend' = mayStillSend and waiting' = waiting
}

// OrdersHandler.leaseChanged: the predecessor may send until its lease and order limit expire.
pred changeLeader {
  some terms/next[Control.current]
  Control.current' = terms/next[Control.current]
  mayStillSend' = mayStillSend + Control -> Control.current'
  some SkipsWait
    implies no waiting'
    else Control.waiting' = Control.waiting + Control.current'
  enginesKept and issued' = issued and inFlight' = inFlight
}

// The lease and the order limit of an earlier leader expire.
pred sendingEnds[t: Term] {
  t in Control.mayStillSend and t != Control.current
  mayStillSend' = mayStillSend - Control -> t
  enginesKept and issued' = issued and inFlight' = inFlight and current' = current
  waiting' = waiting
}

// OrdersHandler.stateRead: the wait of a new leader ends.
pred endWait {
  Control.current in Control.waiting
  waiting' = waiting - Control -> Control.current
  Control.mayStillSend = Control.current
  enginesKept and issued' = issued and inFlight' = inFlight and current' = current
  mayStillSend' = mayStillSend
}

// EngineRecord.findLateOrders.
pred readBack[e: Engine] {
  Control.current not in Control.waiting
  e.found' = (late[e] implies e.effective else none)
  all other: Engine - e | other.found' = other.found
  accepted' = accepted and effective' = effective and newest' = newest
  issued' = issued and inFlight' = inFlight and current' = current
  mayStillSend' = mayStillSend and waiting' = waiting
}

pred idle {
  enginesKept and issued' = issued and inFlight' = inFlight and current' = current
  mayStillSend' = mayStillSend and waiting' = waiting
}

pred late[e: Engine] { some e.newest and terms/lt[e.effective, e.newest] }

pred behaviour {
  all o: Order | some RepeatsToken implies o.token = terms/first else o.token = o.term
  init
  always (
    changeLeader or endWait or idle
    or (some o: Order | issue[o] or accept[o] or drop[o])
    or (some t: Term | sendingEnds[t])
    or (some e: Engine | readBack[e]))
}

pred correct { no SkipsWait and no AcceptsAnyToken and no RepeatsToken }

// On an engine that checks tokens, no order takes effect after one with a newer term.
pred fenced { always all e: ChecksTokens | not late[e] }

// Once a leader has issued an order to any engine, no earlier leader issues another.
pred exclusive {
  always all o: Order |
    issue[o] implies no newer: Control.issued | terms/gt[newer.term, o.term]
}

assert Fenced { (correct and behaviour) implies fenced }
check Fenced for 2 Engine, 3 Order, 3 Term, 9 steps

assert Exclusive { (correct and behaviour) implies exclusive }
check Exclusive for 2 Engine, 3 Order, 3 Term, 9 steps

assert MutantAcceptsAnyToken {
  (behaviour and some AcceptsAnyToken and no SkipsWait and no RepeatsToken) implies fenced
}
check MutantAcceptsAnyToken for 1 Engine, 2 Order, 2 Term, 9 steps

assert MutantRepeatsToken {
  (behaviour and some RepeatsToken and no SkipsWait and no AcceptsAnyToken) implies fenced
}
check MutantRepeatsToken for 1 Engine, 2 Order, 2 Term, 9 steps

assert MutantSkipsWait {
  (behaviour and some SkipsWait and no AcceptsAnyToken and no RepeatsToken) implies exclusive
}
check MutantSkipsWait for 1 Engine, 2 Order, 2 Term, 9 steps

// An engine that ignores tokens can accept a late order; the next read-back finds it.
run LateOrderIsFound {
  correct and behaviour
  some e: Engine - ChecksTokens | eventually (late[e] and after some e.found)
} for 1 Engine, 2 Order, 2 Term, 10 steps
