/*
 * Elections, the replicated log and epochs (terms) of one group with a fixed
 * membership. Written after package raft; the inlines are its transitions and
 * raft/conformance_test.go replays the code against them by name.
 *
 * The network loses, repeats, delays and reorders. A message, once sent, stays in
 * terms[] and may be taken any number of times, in any order, or never. An append
 * of a term is named by the positions that it carries, because the log of a term's
 * leader only grows while it leads.
 *
 * Each transition that changes what must be durable ends with its sync, before
 * anything that it sends can be taken. A crash before the sync is the same as a
 * message that was lost; so Restart keeps all but the role.
 *
 * check -DMAX_TERM=3 -DMAX_LOG=2
 * check -DMAX_TERM=4 -DMAX_LOG=2 -DAFTER_TWO_TERMS
 *
 * Broken variants, and the invariant that each must break:
 * broken VOTE_TWICE breaks ElectionSafety
 * broken VOTE_NOT_SYNCED breaks ElectionSafety
 * broken VOTE_FOR_SHORTER_LOG breaks LeaderCompleteness
 * broken LOG_NOT_SYNCED breaks LeaderCompleteness
 * broken COMMIT_WITHOUT_QUORUM breaks LeaderCompleteness
 * broken COMMIT_EARLIER_TERM breaks LeaderCompleteness -DMAX_TERM=4 -DAFTER_TWO_TERMS
 * broken APPEND_WITHOUT_MATCH breaks LogMatching
 * broken COMMIT_BEYOND_MATCH breaks StateMachineSafety
 * broken TRUNCATE_ALWAYS breaks CommittedNeverReverts
 */
#ifndef NODES
#define NODES 3
#endif
#ifndef MAX_TERM
#define MAX_TERM 3
#endif
#ifndef MAX_LOG
#define MAX_LOG 2
#endif

#define NONE 255
#define QUORUM (NODES / 2 + 1)
#ifdef FOCUS /* one invariant alone */
#define always(name, condition) name = (name && (condition)); assert(FOCUS)
#else
#define always(name, condition) name = (condition); assert(name)
#endif

bool ElectionSafety = true;        /* a term has one leader */
bool LogMatching = true;           /* equal (index, term): equal logs up to there */
bool LeaderCompleteness = true;    /* a leader has what was committed in earlier terms */
bool StateMachineSafety = true;    /* no two nodes commit different entries at an index */
bool CommittedNeverReverts = true; /* a node never drops an entry that it committed */

mtype:role = { Follower, Candidate, Leader };

typedef NodeState {
	mtype:role role = Follower;
	byte term;
	byte vote = NONE;
	byte length;
	byte entries[MAX_LOG]; /* the term of each entry */
	byte commit;
};

/* What was sent in a term, by whom. */
typedef TermState {
	bool live;
	bool requested[NODES];
	byte lastIndex[NODES]; /* of the candidate's log */
	byte lastTerm[NODES];
	byte granted[NODES];   /* a bit for each voter */
	byte leader = NONE;
	byte length;           /* the leader's log, as far as it was sent */
	byte entries[MAX_LOG];
	byte commit;
	byte matched[NODES];   /* acknowledged by each member */
};

byte highestTerm; /* that any node has reached */
NodeState nodes[NODES];
TermState terms[MAX_TERM + 1];
byte committed[MAX_LOG];   /* the term of the entry committed at each index, 0 for none */
byte committedIn[MAX_LOG]; /* the term of the leader that committed it */

#define me nodes[self]
#if defined(BROKEN_VOTE_NOT_SYNCED) || defined(BROKEN_LOG_NOT_SYNCED)
#define RESTART_LOSES
#endif
#define lastTermOf(n) (nodes[n].length == 0 -> 0 : nodes[n].entries[nodes[n].length - 1])
#define bit(n) (1 << (n))


inline chooseUpTo(value, low, high) {
	value = low;
	do
	:: value < (high) -> value++
	:: break
	od;
	skip /* so that the jump out of the loop never leads into a d_step */
}

/* What was sent in a term that every node has left changes nothing any more. */
inline forgetTerms() {
	for (i : 1 .. MAX_TERM) {
		if
		:: i < nodes[0].term && i < nodes[1].term && i < nodes[2].term && terms[i].live ->
			for (j : 0 .. NODES - 1) {
				terms[i].requested[j] = false;
				terms[i].lastIndex[j] = 0;
				terms[i].lastTerm[j] = 0;
				terms[i].granted[j] = 0;
				terms[i].matched[j] = 0
			}
			for (j : 0 .. MAX_LOG - 1) {
				terms[i].entries[j] = 0
			}
			terms[i].leader = NONE;
			terms[i].length = 0;
			terms[i].commit = 0;
			terms[i].live = false
		:: else
		fi
	}
	i = 0; j = 0
}

/* UpdateTerm follows a message of a later term. */
inline UpdateTerm(t) {
	if
	:: t > me.term -> me.term = t; me.vote = NONE; me.role = Follower
	:: else
	fi
}

/* Campaign raises the term and votes for itself. */
inline Campaign() {
	me.role = Candidate;
	me.term++;
	highestTerm = (me.term > highestTerm -> me.term : highestTerm);
	me.vote = self;
	terms[me.term].live = true;
	terms[me.term].requested[self] = true;
	terms[me.term].lastIndex[self] = me.length;
	terms[me.term].lastTerm[self] = lastTermOf(self);
	terms[me.term].granted[self] = bit(self)
}

#ifdef BROKEN_VOTE_TWICE
#define voteFree(candidate) (me.role == Follower)
#else
#define voteFree(candidate) (me.vote == NONE || me.vote == candidate)
#endif

#ifdef BROKEN_VOTE_FOR_SHORTER_LOG
#define upToDate(t, candidate) true
#else
#define upToDate(t, candidate) (terms[t].lastTerm[candidate] > lastTermOf(self) || \
	(terms[t].lastTerm[candidate] == lastTermOf(self) && terms[t].lastIndex[candidate] >= me.length))
#endif

/* GrantVote answers a candidate's request; the vote is durable before the answer leaves. */
inline GrantVote(t, candidate) {
	UpdateTerm(t);
	if
	:: voteFree(candidate) && upToDate(t, candidate) ->
		me.vote = candidate;
		terms[t].granted[candidate] = terms[t].granted[candidate] | bit(self)
	:: else
	fi
}

inline countBits(mask, count) {
	count = 0;
	for (i : 0 .. NODES - 1) {
		if
		:: mask & bit(i) -> count++
		:: else
		fi
	}
	i = 0
}

inline checkLeader() {
	for (i : 0 .. MAX_LOG - 1) {
		if
		:: committed[i] != 0 && committedIn[i] < me.term ->
			always(LeaderCompleteness, i < me.length && me.entries[i] == committed[i])
		:: else
		fi
	}
	i = 0
}

inline publish() {
	terms[me.term].length = me.length;
	for (i : 0 .. MAX_LOG - 1) {
		terms[me.term].entries[i] = me.entries[i]
	}
	i = 0
}

/* AppendEntry puts an entry of the leader's term at the end of its log. */
inline AppendEntry() {
	if
	:: me.length < MAX_LOG ->
		me.entries[me.length] = me.term;
		me.length++
	:: else
	fi;
	publish();
	terms[me.term].matched[self] = me.length
}

/* BecomeLeader counts the votes; the new leader appends an entry of its term. */
inline BecomeLeader() {
	always(ElectionSafety, terms[me.term].leader == NONE || terms[me.term].leader == self);
	terms[me.term].leader = self;
	me.role = Leader;
	checkLeader();
	AppendEntry()
}

inline commitTo(index) {
	for (i : 0 .. MAX_LOG - 1) {
		if
		:: i >= me.commit && i < index ->
			always(StateMachineSafety, committed[i] == 0 || committed[i] == me.entries[i]);
			committed[i] = me.entries[i];
			committedIn[i] = (committedIn[i] == 0 -> me.term : committedIn[i])
		:: else
		fi
	}
	i = 0;
	me.commit = (index > me.commit -> index : me.commit)
}

/* AdvanceCommit commits what a quorum has made durable, if it is of the leader's term. */
inline AdvanceCommit(index) {
	for (i : 0 .. NODES - 1) {
		if
		:: terms[me.term].matched[i] >= index -> count++
		:: else
		fi
	}
	i = 0;
	if
#ifdef BROKEN_COMMIT_EARLIER_TERM
	:: count >= QUORUM ->
#elif defined(BROKEN_COMMIT_WITHOUT_QUORUM)
	:: me.entries[index - 1] == me.term ->
#else
	:: count >= QUORUM && me.entries[index - 1] == me.term ->
#endif
		commitTo(index);
		terms[me.term].commit = me.commit
	:: else
	fi
}

inline checkLogs() {
	for (i : 0 .. NODES - 1) {
		for (j : 0 .. MAX_LOG - 1) {
			if
			:: i != self && j < me.length && j < nodes[i].length && me.entries[j] == nodes[i].entries[j] ->
				for (k : 0 .. j) {
					always(LogMatching, me.entries[k] == nodes[i].entries[k])
				}
			:: else
			fi
		}
	}
	i = 0; j = 0; k = 0
}

inline truncateTo(kept) {
	always(CommittedNeverReverts, kept >= me.commit);
	for (i : 0 .. MAX_LOG - 1) {
		if
		:: i >= kept -> me.entries[i] = 0
		:: else
		fi
	}
	i = 0;
	me.length = kept
}

/* AcceptAppend takes the leader's entries after previous up to last. */
inline AcceptAppend(t, previous, last, leaderCommit) {
	UpdateTerm(t);
	me.role = Follower;
	if
#ifndef BROKEN_TRUNCATE_ALWAYS
	:: previous < me.commit ->
		last = me.commit
#endif
#ifdef BROKEN_APPEND_WITHOUT_MATCH
	:: previous >= me.commit && previous <= me.length ->
#elif defined(BROKEN_TRUNCATE_ALWAYS)
	:: previous <= me.length && (previous == 0 || me.entries[previous - 1] == terms[t].entries[previous - 1]) ->
		truncateTo(previous);
#else
	:: previous >= me.commit && previous <= me.length &&
		(previous == 0 || me.entries[previous - 1] == terms[t].entries[previous - 1]) ->
#endif
		for (j : previous .. last - 1) {
			if
			:: j < last && j < me.length && me.entries[j] != terms[t].entries[j] ->
				truncateTo(j)
			:: else
			fi;
			if
			:: j < last && j == me.length ->
				me.entries[j] = terms[t].entries[j];
				me.length++
			:: else
			fi
		}
		j = 0;
#ifdef BROKEN_COMMIT_BEYOND_MATCH
		last = me.length;
#endif
		if
		:: leaderCommit < last -> commitTo(leaderCommit)
		:: else -> commitTo(last)
		fi
	:: else -> last = 0
	fi;
	if
	:: last > terms[t].matched[self] -> terms[t].matched[self] = last
	:: else
	fi;
	checkLogs()
}

/* Restart loses the role and what was not durable. */
inline Restart() {
	me.role = Follower;
#ifdef BROKEN_VOTE_NOT_SYNCED
	me.vote = NONE;
#endif
#ifdef BROKEN_LOG_NOT_SYNCED
	me.commit = 0;
	truncateTo(0);
#endif
}

/*
 * StepDown is what a leader does that hears from no quorum, by its own clock. One
 * that stepped down and then does nothing is no other than one that does nothing;
 * so it is a transition here only before the next Campaign. The same goes for
 * Restart, as long as it loses nothing.
 */
inline StepDown() {
	me.role = Follower
}

/*
 * The nodes are alike until they act: node 0 is the first to campaign, and node 1
 * acts before node 2.
 */
#define mayBegin (self == 0 || nodes[self - 1].term > 0)

proctype Node(byte self) {
	byte i, j, k, count, peer, t, previous, last, leaderCommit;
end:
	do
	:: atomic { me.term < MAX_TERM && mayBegin -> d_step { StepDown(); Campaign(); forgetTerms() } }
	:: atomic {
		me.term <= highestTerm && mayBegin ->
		chooseUpTo(t, (me.term == 0 -> 1 : me.term), highestTerm);
		chooseUpTo(peer, 0, NODES - 1);
		d_step {
			if
			:: peer != self && terms[t].requested[peer] -> GrantVote(t, peer); forgetTerms()
			:: else
			fi;
			peer = 0; t = 0
		}
	}
	:: atomic {
		me.role == Candidate && terms[me.term].granted[self] != bit(self) ->
		d_step {
			countBits(terms[me.term].granted[self], count);
			if
			:: count >= QUORUM -> BecomeLeader()
			:: else
			fi;
			count = 0
		}
	}
	:: atomic { me.role == Leader && me.length < MAX_LOG -> d_step { AppendEntry() } }
	:: atomic {
		me.role == Leader && me.commit < me.length ->
		chooseUpTo(last, me.commit + 1, me.length);
		d_step { AdvanceCommit(last); last = 0; count = 0 }
	}
	:: atomic {
		me.term <= highestTerm && mayBegin ->
		chooseUpTo(t, (me.term == 0 -> 1 : me.term), highestTerm);
		if
		:: terms[t].leader != NONE && terms[t].leader != self ->
			chooseUpTo(previous, 0, terms[t].length);
			chooseUpTo(last, previous, terms[t].length);
			leaderCommit = (me.commit < terms[t].commit -> me.commit : terms[t].commit);
			chooseUpTo(leaderCommit, leaderCommit, terms[t].commit);
			d_step { AcceptAppend(t, previous, last, leaderCommit); forgetTerms() }
		:: else
		fi;
		t = 0; previous = 0; last = 0; leaderCommit = 0
	}
#ifdef RESTART_LOSES
	:: atomic { me.term > 0 -> d_step { Restart() } }
#endif
	od
}

/*
 * startAfterTwoTerms begins where leaders 0 of term 1 and 2 of term 2, each by the
 * vote of node 1, have appended an entry that reached nobody else.
 */
inline startAfterTwoTerms() {
	highestTerm = 2;
	nodes[0].term = 1;
	nodes[0].role = Leader;
	nodes[0].vote = 0;
	nodes[1].term = 2;
	nodes[1].vote = 2;
	nodes[2].term = 2;
	nodes[2].role = Leader;
	nodes[2].vote = 2;
	for (n : 0 .. 1) {
		nodes[2 * n].length = 1;
		nodes[2 * n].entries[0] = n + 1;
		terms[n + 1].live = true;
		terms[n + 1].requested[2 * n] = true;
		terms[n + 1].granted[2 * n] = bit(2 * n) | bit(1);
		terms[n + 1].leader = 2 * n;
		terms[n + 1].length = 1;
		terms[n + 1].entries[0] = n + 1;
		terms[n + 1].matched[2 * n] = 1
	}
}

init {
	byte n;
	atomic {
#ifdef AFTER_TWO_TERMS
		startAfterTwoTerms();
#endif
		for (n : 0 .. NODES - 1) {
			run Node(n)
		}
	}
}
