/*
 * The grants of one row: the global group splits the row's replica limit over two
 * zones that may be cut off at any time. Written after table/grant.go (splitRow,
 * applyRelease), zone/table.go (adopt), zone/replica.go (checkGrant) and the
 * releases of package controller.
 *
 * Each group is one process here: consensus.pml proves its log. A message goes
 * through at once, or is kept by the network and arrives later, also repeatedly and
 * after newer ones. A zone that is cut off is one whose messages wait.
 *
 * check
 * liveness EditInForce -DMAX_EDITS=2
 *
 * broken GROW_WITHOUT_ROOM breaks HeldGrowsWithinMax
 * broken EARLY_RELEASE breaks HeldCoversReplicas
 * broken IGNORE_SEQUENCE breaks HeldCoversReplicas -DMAX_EDITS=4 -DMAX_REPLICAS=1
 * broken LOWER_AT_ONCE breaks HeldCoversReplicas
 * broken IGNORE_GRANT breaks HeldCoversReplicas
 * broken LOAD_FROZEN breaks LoadWithinMax
 * broken ADOPT_OLDER breaks AdoptedNeverReverts
 * broken LOAD_BY_HELD breaks ReplicasWithinDecided
 * broken SEND_ONCE breaks EditInForce -DMAX_EDITS=2
 * broken NEVER_UNLOAD breaks EditInForce -DMAX_EDITS=2
 */
#ifndef MAX_REPLICAS
#define MAX_REPLICAS 2
#endif
#ifndef MAX_EDITS
#define MAX_EDITS 3
#endif
#define ZONES 2
#ifdef FOCUS /* one invariant alone */
#define always(name, condition) name = (name && (condition)); assert(FOCUS)
#else
#define always(name, condition) name = (condition); assert(name)
#endif

bool HeldCoversReplicas = true;    /* a zone has no replica that the global group does not count */
bool HeldGrowsWithinMax = true;    /* what zones hold grows only up to the row's limit */
bool LoadWithinMax = true;         /* a zone that knows the newest grant begins no load beyond the row's limit */
bool AdoptedNeverReverts = true;   /* a zone never goes back to an older grant */
bool ReplicasWithinDecided = true; /* no more replicas than the table decided, in force or still being lowered */

typedef Grant {
	byte limit;
	byte held;
	bool frozen; /* other zones may still have more than the row's lowered limit leaves them */
	byte sequence;
};

typedef Release {
	byte limit;
	byte sequence; /* 0: no message */
};

byte maxReplicas;
byte edits;
bool frozen;
byte decided; /* the greatest limit that the table had since what is held last fitted */
Grant granted[ZONES];
Grant adopted[ZONES];
Grant delayed[ZONES];          /* a delta that the network keeps */
Release delayedRelease[ZONES];
byte replicas[ZONES];

#define heldSum (granted[0].held + granted[1].held)
#define limitSum (granted[0].limit + granted[1].limit)
#define replicaSum (replicas[0] + replicas[1])
#define zoneSettled(z) (adopted[z].sequence == granted[z].sequence && replicas[z] <= granted[z].limit)
#define settled (zoneSettled(0) && zoneSettled(1) && limitSum <= maxReplicas && heldSum <= maxReplicas)

#ifdef LIVENESS
ltl EditInForce { <>[] settled }
#endif

inline checkReplicas() {
	always(HeldCoversReplicas, replicas[0] <= granted[0].held && replicas[1] <= granted[1].held);
	always(ReplicasWithinDecided, replicaSum <= decided)
}

inline chooseUpTo(value, low, high) {
	value = low;
	do
	:: value < (high) -> value++
	:: break
	od;
	skip
}

#ifdef BROKEN_GROW_WITHOUT_ROOM
#define room MAX_REPLICAS
#else
#define room (heldSum >= maxReplicas -> 0 : maxReplicas - heldSum)
#endif

inline setGrant(z, newLimit, newHeld) {
	if
	:: granted[z].limit != newLimit || granted[z].held != newHeld ->
		granted[z].limit = newLimit;
		granted[z].held = newHeld;
		granted[z].sequence++
	:: else
	fi
}

inline setFrozen(z) {
	if
	:: granted[z].limit > 0 -> granted[z].sequence++
	:: else
	fi
}

/* NoteHeld freezes the grants while more is held than the row's limit, or thaws them. */
inline NoteHeld() {
	if
	:: frozen != (heldSum > maxReplicas) ->
		frozen = (heldSum > maxReplicas);
		setFrozen(0);
		setFrozen(1)
	:: else
	fi
}

/* SplitRow grants next0 and next1; what zones hold grows where there is room. */
inline SplitRow(next0, next1) {
	before = heldSum;
	growth0 = (next0 > granted[0].held -> next0 - granted[0].held : 0);
	growth0 = (growth0 > room -> room : growth0);
	held0 = granted[0].held + growth0;
	growth1 = (next1 > granted[1].held -> next1 - granted[1].held : 0);
	growth1 = (growth0 + growth1 > room -> room - growth0 : growth1);
	held1 = granted[1].held + growth1;
	limit0 = (next0 < held0 -> next0 : held0);
	limit1 = (next1 < held1 -> next1 : held1);
#ifdef BROKEN_LOWER_AT_ONCE
	held0 = limit0;
	held1 = limit1;
#endif
	setGrant(0, limit0, held0);
	setGrant(1, limit1, held1);
	always(HeldGrowsWithinMax, heldSum <= before || heldSum <= maxReplicas);
	decided = (heldSum <= maxReplicas || maxReplicas > decided -> maxReplicas : decided);
	checkReplicas();
	before = 0; growth0 = 0; growth1 = 0; held0 = 0; held1 = 0; limit0 = 0; limit1 = 0
}

/* The next limits keep the present ones where the row's limit allows, as without a rebalance. */
inline ApplyRelease(z, releaseSequence, releaseLimit) {
	limit0 = (releaseLimit > granted[z].limit || frozen -> releaseLimit : granted[z].limit);
	if
#ifdef BROKEN_IGNORE_SEQUENCE
	:: limit0 < granted[z].held ->
#else
	:: releaseSequence == granted[z].sequence && limit0 < granted[z].held ->
#endif
		held0 = limit0;
		limit0 = (granted[z].limit < held0 -> granted[z].limit : held0);
		setGrant(z, limit0, held0);
		NoteHeld();
		first = (wanted0 <= maxReplicas -> wanted0 : maxReplicas);
		second = maxReplicas - first;
		SplitRow(first, second);
		first = 0; second = 0
	:: else
	fi;
	limit0 = 0; held0 = 0
}

#define isFrozen(z) (frozen && granted[z].limit > 0)

/* Adopt takes a delta that is newer than what the zone has. */
inline Adopt(z, message, nowFrozen) {
	if
#ifdef BROKEN_ADOPT_OLDER
	:: message.sequence != 0 ->
#else
	:: message.sequence > adopted[z].sequence ->
#endif
		always(AdoptedNeverReverts, message.sequence >= adopted[z].sequence);
		adopted[z].limit = message.limit;
		adopted[z].held = message.held;
		adopted[z].frozen = nowFrozen;
		adopted[z].sequence = message.sequence
	:: else
	fi
}

byte wanted0; /* how the table wants the row's limit split: this much to zone 0 */

proctype Global() {
	byte before, growth0, growth1, held0, held1, limit0, limit1, newMax, first, second;
end:
	do
	:: atomic {
		edits < MAX_EDITS ->
		chooseUpTo(newMax, 0, MAX_REPLICAS);
		chooseUpTo(first, 0, newMax);
		d_step {
			edits++;
			maxReplicas = newMax;
			wanted0 = first;
			second = newMax - first;
			NoteHeld();
			SplitRow(first, second);
			newMax = 0; first = 0; second = 0
		}
	}
	od
}

#ifdef BROKEN_SEND_ONCE
bool sent[ZONES];
#define maySend(z) (!sent[z])
#else
#define maySend(z) true
#endif

/* Deliver brings the newest delta to the zone. */
proctype Deliver(byte z) {
end:
	do
	:: atomic { granted[z].sequence != adopted[z].sequence && maySend(z) ->
		d_step {
#ifdef BROKEN_SEND_ONCE
			sent[z] = true;
#endif
			Adopt(z, granted[z], isFrozen(z))
		}
	}
	od
}

#ifdef BROKEN_EARLY_RELEASE
#define mayRelease(z) (adopted[z].limit < adopted[z].held)
#else
#define mayRelease(z) ((adopted[z].limit < adopted[z].held || adopted[z].frozen) && \
	replicas[z] <= adopted[z].limit && downTo(z) != adopted[z].held)
#endif
#define downTo(z) (adopted[z].frozen -> replicas[z] : adopted[z].limit)

/* Network keeps a message and brings it later, as often as it likes. */
proctype Network(byte z) {
	byte before, growth0, growth1, held0, held1, limit0, limit1, first, second;
end:
	do
	:: atomic {
		granted[z].sequence != delayed[z].sequence && edits < MAX_EDITS ->
		d_step {
			delayed[z].limit = granted[z].limit;
			delayed[z].held = granted[z].held;
			delayed[z].frozen = isFrozen(z);
			delayed[z].sequence = granted[z].sequence
		}
	}
	:: atomic { delayed[z].sequence > 0 && delayed[z].sequence != adopted[z].sequence -> d_step { Adopt(z, delayed[z], delayed[z].frozen) } }
	:: atomic {
		mayRelease(z) && delayedRelease[z].sequence != adopted[z].sequence ->
		d_step {
			delayedRelease[z].limit = downTo(z);
			delayedRelease[z].sequence = adopted[z].sequence
		}
	}
	:: atomic {
		delayedRelease[z].sequence > 0 ->
		d_step { ApplyRelease(z, delayedRelease[z].sequence, delayedRelease[z].limit) }
	}
	od
}

/* SendRelease tells the global group that the zone is down to its adopted limit. */
proctype SendRelease(byte z) {
	byte down, before, growth0, growth1, held0, held1, limit0, limit1, first, second;
end:
	do
	:: atomic {
		mayRelease(z) && adopted[z].sequence == granted[z].sequence ->
		d_step {
			down = downTo(z);
			ApplyRelease(z, adopted[z].sequence, down);
			down = 0
		}
	}
	od
}

/* Unload goes down to the adopted limit. */
proctype Unload(byte z) {
end:
	do
#ifndef BROKEN_NEVER_UNLOAD
	:: atomic { replicas[z] > adopted[z].limit -> d_step { replicas[z]-- } }
#endif
	:: atomic { false }
	od
}

#ifdef BROKEN_IGNORE_GRANT
#define mayLoad(z) (replicas[z] < maxReplicas)
#elif defined(BROKEN_LOAD_BY_HELD)
#define mayLoad(z) (replicas[z] < adopted[z].held)
#else
#define mayLoad(z) (replicas[z] < adopted[z].limit && !isHalted(z))
#endif
#ifdef BROKEN_LOAD_FROZEN
#define isHalted(z) false
#else
#define isHalted(z) adopted[z].frozen
#endif

/* Load reserves a replica under the adopted grant, and gives replicas up at will. */
proctype Load(byte z) {
end:
	do
	:: atomic {
		mayLoad(z) ->
		d_step {
			replicas[z]++;
			checkReplicas();
			always(LoadWithinMax, replicaSum <= maxReplicas || adopted[z].sequence != granted[z].sequence)
		}
	}
	:: atomic { replicas[z] > 0 && replicas[z] <= adopted[z].limit -> d_step { replicas[z]-- } }
	od
}

init {
	byte z;
	atomic {
		run Global();
		for (z : 0 .. ZONES - 1) {
			run Deliver(z);
			run Network(z);
			run SendRelease(z);
			run Unload(z);
			run Load(z)
		}
	}
}
