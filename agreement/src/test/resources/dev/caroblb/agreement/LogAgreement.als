module LogAgreement

/*
 * Log agreement while replicas lose their disks.
 *
 * A member is a disk, not a slot: an empty disk at the same slot is another member, which joins
 * through the log. An entry identifies the whole log that ends with it, so the log of a disk is
 * its head and all entries before it.
 */

open util/ordering[Term] as terms

sig Term {}

abstract sig Disk {
  var term: one Term,
  var head: one Entry
}

/** The disks of three slots; Fresh is the empty disk at the slot of A once A is lost. */
one sig A, B, C, Fresh extends Disk {}

/** A log entry with the members that are in effect from it on. */
sig Entry {
  created: one Term,
  prior: lone Entry,
  members: set Disk
}

one sig Root extends Entry {}

/** Rules that can be removed to test the checks; a correct trace removes none. */
abstract sig Rule {}
one sig EmptyDiskIsAnotherMember, LostAreFew extends Rule {}
sig Removed in Rule {}

/** Disks that their slot currently runs, and disks that are permanently lost. */
var sig Running in Disk {}
var sig Lost in Disk {}

/** Entries that any leader has appended, and entries that any leader has committed. */
var sig Appended in Entry {}
var sig Committed in Entry {}

/** Disks that grant their votes in the current step. */
var sig Voters in Disk {}

/** The leaders of each term; a leader that restarts must be elected again. */
one sig Leaders {
  var of: Term -> Disk
}

fact Entries {
  no Root.prior
  Root.created = terms/first and Root.members = A + B + C
  all e: Entry - Root | one e.prior and e not in e.^prior
  all e: Entry - Root | terms/lte[e.prior.created, e.created]
}

fun log[d: Disk]: set Entry { d.head.*prior }

/** The members before the newest membership change in the log that ends with e. */
fun previousMembers[e: Entry]: set Disk {
  { d: Disk | some c: e.*prior - Root |
      c.members != c.prior.members
      and (all later: e.*prior - c.*prior | later.members = c.members)
      and d in c.prior.members }
}

pred changeCommitted[e: Entry] {
  all c: e.*prior - Root | c.members != c.prior.members implies c in Committed
}

/** Whether a member is among the disks that agree; without the rule, Fresh also counts as A. */
pred agrees[member: Disk, who: set Disk] {
  member in who
  or (EmptyDiskIsAnotherMember in Removed and member = A and Fresh in who)
}

// Quorum.reachedIn, for lists of at most three members; two are a majority of two or three
pred quorumOf[list: set Disk, who: set Disk] {
  let agreeing = { m: list | agrees[m, who] }, gone = list & Lost {
    (some agreeing and (lone list or not lone agreeing))
    or (some agreeing and list - gone in agreeing and (LostAreFew in Removed or fewer[gone, list]))
  }
}

pred fewer[gone: set Disk, list: set Disk] {
  lone gone and (lone list implies no gone)
}

// Quorum.reached, MemberHistory.quorum
pred quorum[e: Entry, who: set Disk] {
  quorumOf[e.members, who]
  changeCommitted[e] or quorumOf[previousMembers[e], who]
}

/** Whether the candidate's log is at least as new; the entries of a term form one chain. */
pred upToDate[candidate, voter: Disk] {
  terms/gt[candidate.head.created, voter.head.created]
  or (candidate.head.created = voter.head.created
      and voter.head in candidate.head.*prior)
}

pred init {
  Running = A + B + C
  no Lost
  Appended = Root
  Committed = Root
  no Leaders.of
  all d: Disk | d.term = terms/first and d.head = Root
}

// Election, Voter, VoteState: the votes of a term, each of which is on disk before it counts
pred elect[c: Disk, t: Term] {
  c in Running and c in c.head.members
  terms/gt[t, c.term]
  c in Voters and Voters in Running
  all v: Voters | terms/lt[v.term, t] and upToDate[c, v]
  quorum[c.head, Voters]
  term' = term ++ (Voters -> t)
  of' = of + (Leaders -> t -> c)
  head' = head and Running' = Running and Lost' = Lost
  Appended' = Appended and Committed' = Committed
}

pred leads[d: Disk] {
  d in Running and d in Leaders.of[d.term]
}

// Leadership.append
pred append[l: Disk, e: Entry] {
  leads[l]
  e not in Appended
  e.prior = l.head and e.created = l.term
  e.members = l.head.members or changes[l, e]
  Appended' = Appended + e
  head' = head ++ (l -> e)
  term' = term and Running' = Running and Lost' = Lost
  Committed' = Committed and of' = of
}

// MembershipChange.nextMembers: one change at a time, after an entry of the own term is committed
pred changes[l: Disk, e: Entry] {
  changeCommitted[l.head]
  some c: log[l] & Committed | c.created = l.term
  (some d: l.head.members & Lost | e.members = l.head.members - d)
  or (some d: Running - l.head.members |
        (d = Fresh implies A not in l.head.members) and d.head = l.head
        and e.members = l.head.members + d)
}

// Replication.sendNewEntries, FollowerLog.append; the entries are synced before the response
pred replicate[l, f: Disk] {
  leads[l] and f in Running and f != l
  terms/lte[f.term, l.term]
  f.head != l.head
  head' = head ++ (f -> l.head)
  term' = term ++ (f -> l.term)
  Running' = Running and Lost' = Lost
  Appended' = Appended and Committed' = Committed and of' = of
}

// Leadership.commit, Replication.quorumIndex: only entries of the own term commit by counting
pred commit[l: Disk, e: Entry] {
  leads[l]
  e in log[l] and e.created = l.term and e not in Committed
  quorum[l.head, { d: Running | e in log[d] and d.term = l.term }]
  Committed' = Committed + e.*prior
  term' = term and head' = head and Running' = Running and Lost' = Lost
  Appended' = Appended and of' = of
}

// SlotReports.lost: the data folder is lost and the slot runs an empty one
pred lose[d: Disk] {
  d in Running
  Running' = Running - d + (d = A implies Fresh else none)
  Lost' = Lost + d
  term' = term and head' = head
  Appended' = Appended and Committed' = Committed and of' = of
}

pred stutter {
  term' = term and head' = head and Running' = Running and Lost' = Lost
  Appended' = Appended and Committed' = Committed and of' = of
}

pred trace {
  init
  always (
    (some c: Disk, t: Term | elect[c, t])
    or (no Voters and other))
}

pred other {
  (some l: Disk, e: Entry | append[l, e])
  or (some l, f: Disk | replicate[l, f])
  or (some l: Disk, e: Entry | commit[l, e])
  or (some d: Disk | lose[d])
  or stutter
}

/** No committed entry is lost or changed, and a term has at most one leader. */
pred agreed {
  all a, b: Committed | a in b.*prior or b in a.*prior
  all t: Term | lone Leaders.of[t]
  all t: Term, l: Leaders.of[t] & Running |
    leads[l] implies all e: Committed | terms/lt[e.created, l.term] implies e in log[l]
}

check agreement { (no Removed and trace) implies always agreed }
  for 3 Term, 3 Entry, exactly 7 steps

check mutantEmptyDiskActsAsTheOldOne {
  (Removed = EmptyDiskIsAnotherMember and trace) implies always agreed
} for 3 Term, 3 Entry, exactly 7 steps

check mutantManyLost { (Removed = LostAreFew and trace) implies always agreed }
  for 3 Term, 3 Entry, exactly 8 steps

/** A is lost and removed, then B is lost: C leads alone. */
run survivorLeads {
  no Removed and trace
  eventually (leads[C] and A + B in Lost and some e: Committed - Root | e.created = C.term)
} for 4 Term, 4 Entry, exactly 10 steps
