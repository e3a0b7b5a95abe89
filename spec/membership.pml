/*
 * Membership change, one voter at a time, and replacement of a lost disk under a
 * new identity. Written after raft/propose.go (mayChangeTo), raft/membership.go and
 * raft/election.go.
 *
 * Every entry names the voters in force after it; a membership is in force from the
 * moment its entry is appended and undone when the entry is truncated. An election
 * and the replication to one member are one step each here; consensus.pml takes
 * them apart. Any node with a disk may vote, also one in no membership: that allows
 * more than the code does. Learners are left out, because nobody counts them.
 *
 * check -DMAX_TERM=3 -DMAX_LOG=2 -DMAX_LOSSES=0 -DFOUNDERS=15
 * check -DMAX_TERM=3 -DMAX_LOG=2 -DMAX_LOSSES=1
 * check -DMAX_TERM=2 -DMAX_LOG=3 -DMAX_LOSSES=1
 *
 * broken CHANGE_BEFORE_COMMIT_IN_TERM breaks LeaderCompleteness -DMAX_LOG=2 -DMAX_LOSSES=0 -DFOUNDERS=15
 * broken CHANGE_BEFORE_LAST_CHANGE breaks LeaderCompleteness -DMAX_TERM=2 -DMAX_LOSSES=0 -DFOUNDERS=7
 * broken CHANGE_TWO_VOTERS breaks LeaderCompleteness -DMAX_LOG=2 -DMAX_LOSSES=0
 * broken KEEP_IDENTITY breaks LeaderCompleteness -DMAX_TERM=2 -DMAX_LOG=1
 * broken VOTE_TWICE breaks ElectionSafety -DMAX_LOG=2 -DMAX_LOSSES=0
 * broken VOTE_FOR_SHORTER_LOG breaks LeaderCompleteness -DMAX_LOG=2 -DMAX_LOSSES=0
 * broken COMMIT_ALONE breaks StateMachineSafety -DMAX_LOG=2 -DMAX_LOSSES=0
 */
#define NODES 4
#ifndef MAX_TERM
#define MAX_TERM 3
#endif
#ifndef MAX_LOG
#define MAX_LOG 3
#endif
#ifndef MAX_LOSSES
#define MAX_LOSSES 1
#endif
#define NONE 255
#ifdef FOCUS /* one invariant alone */
#define always(name, condition) name = (name && (condition)); assert(FOCUS)
#else
#define always(name, condition) name = (condition); assert(name)
#endif
#define bit(n) (1 << (n))

bool ElectionSafety = true;     /* a term has one leader */
bool LeaderCompleteness = true; /* a leader has what was committed in earlier terms */
bool StateMachineSafety = true; /* no two nodes commit different entries at an index */

typedef NodeState {
	bool leads;
	byte term;
	byte length;
	byte entries[MAX_LOG];
	byte voters[MAX_LOG];
	byte commit;
	byte matched[NODES];
};

NodeState nodes[NODES];
byte founders;
byte lost; /* the identities whose disk is lost */
byte losses;
byte leaderOf[MAX_TERM + 1];
byte committed[MAX_LOG];
byte committedIn[MAX_LOG];

#define me nodes[self]
#define votersOf(n) (nodes[n].length == 0 -> founders : nodes[n].voters[nodes[n].length - 1])
#define lastTermOf(n) (nodes[n].length == 0 -> 0 : nodes[n].entries[nodes[n].length - 1])
#define size(mask) (((mask) & 1) + (((mask) >> 1) & 1) + (((mask) >> 2) & 1) + (((mask) >> 3) & 1))
#define isQuorum(mask, voters) (2 * size((mask) & (voters)) > size(voters))

inline chooseUpTo(value, low, high) {
	value = low;
	do
	:: value < (high) -> value++
	:: break
	od;
	skip
}

#ifdef BROKEN_VOTE_TWICE
#define hasNotVoted(n, t) (nodes[n].term <= t)
#else
#define hasNotVoted(n, t) (nodes[n].term < t)
#endif
#ifdef BROKEN_VOTE_FOR_SHORTER_LOG
#define upToDate(candidate, n) true
#else
#define upToDate(candidate, n) (lastTermOf(candidate) > lastTermOf(n) || \
	(lastTermOf(candidate) == lastTermOf(n) && nodes[candidate].length >= nodes[n].length))
#endif

/* AppendEntry puts an entry with the voters in force after it into the leader's log. */
inline AppendEntry(mask) {
	me.entries[me.length] = me.term;
	me.voters[me.length] = mask;
	me.length++;
	me.matched[self] = me.length
}

inline follow(n) {
	nodes[n].leads = false;
	for (k : 0 .. NODES - 1) {
		nodes[n].matched[k] = 0
	}
	k = 0
}

/* Elect makes the node the leader of term t by the votes of the nodes in electors. */
inline Elect(t, electors) {
	for (i : 0 .. NODES - 1) {
		if
		:: electors & bit(i) -> nodes[i].term = t; follow(i)
		:: else
		fi
	}
	me.term = t;
	me.leads = true;
	always(ElectionSafety, leaderOf[t] == NONE || leaderOf[t] == self);
	leaderOf[t] = self;
	for (i : 0 .. MAX_LOG - 1) {
		if
		:: committed[i] != 0 && committedIn[i] < t ->
			always(LeaderCompleteness, i < me.length && me.entries[i] == committed[i])
		:: else
		fi
	}
	if
	:: me.length < MAX_LOG -> electors = votersOf(self); AppendEntry(electors)
	:: else -> me.matched[self] = me.length
	fi;
	i = 0
}

/* commitTo moves the commit index of the node target to upTo. */
inline commitTo() {
	for (i : 0 .. MAX_LOG - 1) {
		if
		:: i >= nodes[target].commit && i < upTo ->
			always(StateMachineSafety, committed[i] == 0 || committed[i] == nodes[target].entries[i]);
			committed[i] = nodes[target].entries[i];
			committedIn[i] = (committedIn[i] == 0 -> me.term : committedIn[i])
		:: else
		fi
	}
	i = 0;
	nodes[target].commit = (upTo > nodes[target].commit -> upTo : nodes[target].commit);
	target = 0;
	upTo = 0
}

/* AcceptAppend brings the member's log to the leader's first entries up to last. */
inline AcceptAppend(member, last) {
	nodes[member].term = me.term;
	follow(member);
	for (i : 0 .. MAX_LOG - 1) {
		if
		:: i < last && i < nodes[member].length && nodes[member].entries[i] != me.entries[i] ->
			for (j : i .. MAX_LOG - 1) {
				nodes[member].entries[j] = 0;
				nodes[member].voters[j] = 0
			}
			nodes[member].length = i
		:: else
		fi;
		if
		:: i < last && i >= nodes[member].length ->
			nodes[member].entries[i] = me.entries[i];
			nodes[member].voters[i] = me.voters[i];
			nodes[member].length = i + 1
		:: else
		fi
	}
	i = 0; j = 0;
	me.matched[member] = (last > me.matched[member] -> last : me.matched[member]);
	target = member;
	upTo = (me.commit < last -> me.commit : last);
	commitTo()
}

/* AdvanceCommit commits what a quorum of the voters in force has made durable. */
inline AdvanceCommit(index) {
	for (i : 0 .. NODES - 1) {
		if
		:: me.matched[i] >= index -> mask = mask | bit(i)
		:: else
		fi
	}
	i = 0;
	target = self;
	upTo = index;
	if
#ifdef BROKEN_COMMIT_ALONE
	:: me.entries[index - 1] == me.term -> commitTo()
#else
	:: isQuorum(mask, votersOf(self)) && me.entries[index - 1] == me.term -> commitTo()
#endif
	:: else -> target = 0; upTo = 0
	fi;
	mask = 0
}

/* The last change is committed when everything from its entry on would be undone only with it. */
#define lastChangeCommitted (me.commit == 0 -> votersOf(self) == founders : \
	(votersOf(self) == me.voters[me.commit - 1]))

#ifdef BROKEN_CHANGE_TWO_VOTERS
#define maxDifference 2
#else
#define maxDifference 1
#endif
#ifdef BROKEN_CHANGE_BEFORE_COMMIT_IN_TERM
#define mayChange lastChangeCommitted
#elif defined(BROKEN_CHANGE_BEFORE_LAST_CHANGE)
#define mayChange (me.commit > 0 && me.entries[me.commit - 1] == me.term)
#else
#define mayChange (lastChangeCommitted && me.commit > 0 && me.entries[me.commit - 1] == me.term)
#endif

/* ChangeMembership appends an entry with other voters; it is in force at once. */
inline ChangeMembership(mask) {
	AppendEntry(mask)
}

/* LoseDisk takes a disk away. Its identity never comes back. */
inline LoseDisk() {
	losses++;
#ifdef BROKEN_KEEP_IDENTITY
	me.term = 0;
#else
	lost = lost | bit(self);
#endif
	follow(self);
	me.length = 0;
	me.commit = 0;
	for (i : 0 .. MAX_LOG - 1) {
		me.entries[i] = 0;
		me.voters[i] = 0
	}
	i = 0
}

#define alive(n) (!(lost & bit(n)))

/*
 * More votes than a quorum only leave fewer nodes to vote otherwise. The founders
 * are alike until they act, so node 0 is the first to be elected.
 */
#define isLeastQuorum(mask, voters) (((mask) & ~(voters)) == 0 && size(mask) == size(voters) / 2 + 1)
#define mayBegin (self == 0 || nodes[0].term > 0)

proctype Node(byte self) {
	byte i, j, k, mask, t, peer, last, target, upTo;
end:
	do
	:: atomic {
		me.term < MAX_TERM && alive(self) && (votersOf(self) & bit(self)) && mayBegin ->
		chooseUpTo(t, me.term + 1, MAX_TERM);
		chooseUpTo(mask, 1, 15);
		d_step {
			for (i : 0 .. NODES - 1) {
				if
				:: (mask & bit(i)) && (!alive(i) || !hasNotVoted(i, t) || !upToDate(self, i)) -> mask = 0
				:: else
				fi
			}
			i = 0;
			if
			:: (mask & bit(self)) && isLeastQuorum(mask, votersOf(self)) -> Elect(t, mask)
			:: else
			fi;
			t = 0; mask = 0
		}
	}
	:: atomic {
		me.leads ->
		chooseUpTo(peer, 0, NODES - 1);
		chooseUpTo(last, 1, me.length);
		d_step {
			if
			:: peer != self && alive(peer) && nodes[peer].term <= me.term -> AcceptAppend(peer, last)
			:: else
			fi;
			peer = 0; last = 0
		}
	}
	:: atomic {
		me.leads && me.commit < me.length ->
		chooseUpTo(last, me.commit + 1, me.length);
		d_step { AdvanceCommit(last); last = 0 }
	}
	:: atomic {
		me.leads && me.length < MAX_LOG && mayChange ->
		chooseUpTo(mask, 1, 15);
		d_step {
			if
			:: mask != votersOf(self) && size(mask ^ votersOf(self)) <= maxDifference -> ChangeMembership(mask)
			:: else
			fi;
			mask = 0
		}
	}
	:: atomic { losses < MAX_LOSSES && alive(self) && me.term > 0 -> d_step { LoseDisk() } }
	od
}

init {
	byte n;
	atomic {
		for (n : 0 .. MAX_TERM) {
			leaderOf[n] = NONE
		}
		if
#ifdef FOUNDERS
		:: founders = FOUNDERS
#else
		:: founders = 7
#endif
#if !defined(FOUNDERS) && MAX_LOSSES == 0
		:: founders = 15
#endif
		fi;
		for (n : 0 .. NODES - 1) {
			run Node(n)
		}
	}
}
