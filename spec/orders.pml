/*
 * Fenced orders of one zone to one engine, with leaders that were cut off and still
 * believe in themselves. Written after zone/replica.go, zone/runner.go,
 * controller/orders.go and emulator/orders.go.
 *
 * The zone log is one shared state here, changed by the present leader only:
 * consensus.pml proves that. A leader of an earlier epoch keeps the state that it
 * had applied when it was replaced, and goes on sending the orders that follow from
 * it. An order goes through at once, or is kept by the network and arrives later,
 * also repeatedly. A leader acts on the last report that reached it, however old.
 *
 * The engine has memory for one of two rows. It would refuse a load that does not
 * fit; here such a load counts as a fault of the leader.
 *
 * check -DMAX_EPOCH=3 -DMAX_INDEX=7 -DDELAYED=1
 * check -DMAX_EPOCH=2 -DMAX_INDEX=5 -DDELAYED=2
 *
 * broken NO_FENCE breaks MemoryNotOvercommitted
 * broken ORDER_BEFORE_RESERVATION breaks LoadedIsRecorded
 * broken REMOVE_UNPASSED breaks LoadedIsRecorded
 * broken PASSED_BY_NUMBER breaks LoadedIsRecorded
 * broken IGNORE_INCARNATION breaks LoadedIsRecorded
 * broken FENCE_BY_EPOCH breaks FenceNeverReverts
 * broken RESERVE_UNCHECKED breaks MemoryNotReservedTwice
 */
#define ROWS 2
#define CAPACITY 1
#ifndef MAX_EPOCH
#define MAX_EPOCH 2
#endif
#ifndef MAX_INDEX
#define MAX_INDEX 5
#endif
#ifndef MAX_INCARNATION
#define MAX_INCARNATION 2
#endif
#ifndef DELAYED
#define DELAYED 1
#endif
#ifdef FOCUS /* one invariant alone */
#define always(name, condition) name = (name && (condition)); assert(FOCUS)
#else
#define always(name, condition) name = (condition); assert(name)
#endif

bool MemoryNotOvercommitted = true; /* no accepted load exceeds the engine's memory */
bool MemoryNotReservedTwice = true; /* the records on a runner fit into its memory */
bool LoadedIsRecorded = true;       /* what an engine has loaded is counted in the zone log */
bool FenceNeverReverts = true;      /* an engine carries out no order older than one it accepted */

mtype:state = { Absent, Loading, Ready, Unloading };
mtype:kind = { None, Load, Unload };

typedef Record {
	mtype:state state = Absent;
	byte order;
	byte reserved;
};

typedef Order {
	mtype:kind kind = None;
	byte epoch;
	byte number;
	byte incarnation;
	byte row;
};

typedef Engine {
	byte incarnation = 1;
	byte epoch;  /* the fence */
	byte number;
	mtype:state state[ROWS] = Absent;
	byte order[ROWS]; /* the number of the last order about the row */
};

/* What a leader knows: the zone's records, as far as it applied them. */
typedef ZoneState {
	byte epoch;
	byte incarnation; /* of the runner, as registered */
	Record records[ROWS];
};

ZoneState zone;  /* the present leader's, and the committed one */
ZoneState stale; /* of the leader before it, which knows nothing of the end of its epoch */
byte index;
Engine engine;
Engine report; /* the last one that reached the leaders */
bool reported;
bool reportedSince[ROWS]; /* taken after the row's record became ready */
Order delayed[DELAYED];
Order arriving;

#define reservedMemory ((zone.records[0].state != Absent) + (zone.records[1].state != Absent))
#define usedMemory ((engine.state[0] != Absent) + (engine.state[1] != Absent))
#define isRecorded(r) (engine.state[r] == Absent || zone.records[r].state != Absent || engine.incarnation != zone.incarnation)

inline checkLoaded() {
	always(LoadedIsRecorded, isRecorded(0) && isRecorded(1))
}

inline nextIndex() {
	index++
}

/* Reserve makes a record in the zone log; the number of its order is its index. */
inline Reserve(r) {
	nextIndex();
	zone.records[r].state = Loading;
	zone.records[r].order = index;
	zone.records[r].reserved = index;
	always(MemoryNotReservedTwice, reservedMemory <= CAPACITY)
}

inline Transition(r, to) {
	nextIndex();
	zone.records[r].state = to;
	if
	:: to == Unloading -> zone.records[r].order = index
	:: else -> reportedSince[r] = false
	fi
}

inline Touch(r) {
	nextIndex();
	zone.records[r].order = index
}

inline Remove(r) {
	nextIndex();
	zone.records[r].state = Absent;
	zone.records[r].order = 0;
	zone.records[r].reserved = 0;
	checkLoaded()
}

inline copyZone(to, from) {
	to.epoch = from.epoch;
	to.incarnation = from.incarnation;
	for (i : 0 .. ROWS - 1) {
		to.records[i].state = from.records[i].state;
		to.records[i].order = from.records[i].order;
		to.records[i].reserved = from.records[i].reserved
	}
	i = 0
}

/* NewEpoch elects another leader; the one before is cut off and does not know. */
inline NewEpoch() {
	copyZone(stale, zone);
	zone.epoch++
}

/* RegisterIncarnation forgets the records of a runner that restarted. */
inline RegisterIncarnation() {
	nextIndex();
	zone.incarnation = report.incarnation;
	for (i : 0 .. ROWS - 1) {
		zone.records[i].state = Absent;
		zone.records[i].order = 0;
		zone.records[i].reserved = 0
	}
	i = 0;
	checkLoaded()
}

#ifdef BROKEN_NO_FENCE
#define isNewer(e, n) true
#elif defined(BROKEN_FENCE_BY_EPOCH)
#define isNewer(e, n) ((e) >= engine.epoch)
#else
#define isNewer(e, n) ((e) > engine.epoch || ((e) == engine.epoch && (n) > engine.number))
#endif
#ifdef BROKEN_IGNORE_INCARNATION
#define isOwn(n) true
#else
#define isOwn(n) ((n) == engine.incarnation)
#endif

/* TakeOrder is the engine's: it carries out an order newer than all it accepted. */
inline TakeOrder() {
	if
	:: isOwn(arriving.incarnation) && isNewer(arriving.epoch, arriving.number) &&
		!(arriving.kind == Load && engine.state[arriving.row] == Unloading) ->
#ifndef BROKEN_NO_FENCE
		always(FenceNeverReverts, arriving.epoch > engine.epoch ||
			(arriving.epoch == engine.epoch && arriving.number > engine.number));
#endif
		engine.epoch = arriving.epoch;
		engine.number = arriving.number;
		if
		:: arriving.kind == Load && engine.state[arriving.row] == Absent ->
			engine.state[arriving.row] = Loading;
			engine.order[arriving.row] = arriving.number;
			always(MemoryNotOvercommitted, usedMemory <= CAPACITY);
			checkLoaded()
		:: arriving.kind == Unload && engine.state[arriving.row] == Loading ->
			engine.state[arriving.row] = Absent;
			engine.order[arriving.row] = 0
		:: arriving.kind == Unload && engine.state[arriving.row] == Ready ->
			engine.state[arriving.row] = Unloading;
			engine.order[arriving.row] = arriving.number
		:: arriving.kind == Load && engine.state[arriving.row] != Absent -> engine.order[arriving.row] = arriving.number
		:: else
		fi
	:: else
	fi;
	arriving.kind = None;
	arriving.row = 0;
	arriving.epoch = 0;
	arriving.number = 0;
	arriving.incarnation = 0
}

inline setOrder(message, what, r, view, n) {
	message.kind = what;
	message.row = r;
	message.epoch = view.epoch;
	message.number = n;
	message.incarnation = view.incarnation
}

inline Report() {
	report.incarnation = engine.incarnation;
	report.epoch = engine.epoch;
	report.number = engine.number;
	for (i : 0 .. ROWS - 1) {
		report.state[i] = engine.state[i];
		report.order[i] = engine.order[i];
		reportedSince[i] = true
	}
	i = 0;
	reported = true
}

/* RestartEngine loses what was loaded and the fence, under a new incarnation. */
inline RestartEngine() {
	engine.incarnation++;
	engine.epoch = 0;
	engine.number = 0;
	for (i : 0 .. ROWS - 1) {
		engine.state[i] = Absent;
		engine.order[i] = 0
	}
	i = 0
}

#define mayFollow(view) (reported && report.incarnation == view.incarnation && report.epoch <= view.epoch)
#define shown(view, r) (report.state[r] != Absent && report.order[r] >= view.records[r].reserved)
#define overtaken(view, r) (report.epoch > view.epoch || \
	(report.epoch == view.epoch && report.number > view.records[r].order))
#ifdef BROKEN_PASSED_BY_NUMBER
#define passed(view, r) (report.number >= view.records[r].order)
#else
#define passed(view, r) (overtaken(view, r) || (report.epoch == view.epoch && report.number == view.records[r].order))
#endif
#ifdef BROKEN_REMOVE_UNPASSED
#define mayRemove(r) true
#else
#define mayRemove(r) passed(zone, r)
#endif
#ifdef BROKEN_RESERVE_UNCHECKED
#define fits true
#else
#define fits (reservedMemory < CAPACITY)
#endif
#define loadIsDue(view, r) (view.records[r].state == Loading && !shown(view, r) && !passed(view, r))
#define unloadIsDue(view, r) (view.records[r].state == Unloading && \
	!(!shown(view, r) && passed(view, r)) && \
	!(shown(view, r) && passed(view, r) && report.order[r] >= view.records[r].order) && !overtaken(view, r))

/* SendOrder sends the order that is due for a row, at once or late. */
inline SendOrder(view, r) {
	if
	:: mayFollow(view) && loadIsDue(view, r) -> what = Load
	:: mayFollow(view) && unloadIsDue(view, r) -> what = Unload
	:: else
	fi;
	number = view.records[r].order;
	if
	:: what == None
	:: what != None && isLate -> setOrder(delayed[slot], what, r, view, number)
	:: what != None && !isLate ->
		setOrder(arriving, what, r, view, number);
		TakeOrder()
	fi;
	what = None;
	number = 0
}

/* FollowRecord records what the report shows, as the controller's follower does. */
inline FollowRecord(r) {
	if
	:: zone.records[r].state == Loading && shown(zone, r) && report.state[r] == Ready -> Transition(r, Ready)
	:: zone.records[r].state == Loading && !shown(zone, r) && passed(zone, r) && !overtaken(zone, r) -> Remove(r)
	:: zone.records[r].state == Loading && !shown(zone, r) && overtaken(zone, r) -> Touch(r)
	:: zone.records[r].state == Ready && !shown(zone, r) && reportedSince[r] -> Transition(r, Unloading)
	:: zone.records[r].state == Unloading && !shown(zone, r) && mayRemove(r) -> Remove(r)
	:: zone.records[r].state == Unloading && overtaken(zone, r) &&
		(shown(zone, r) && report.order[r] < zone.records[r].order) -> Touch(r)
	:: else
	fi
}

active proctype Leaders() {
	byte i, r, slot, number;
	bool isLate;
	mtype:kind what = None;
	zone.epoch = 1;
	zone.incarnation = 1;
end:
	do
	:: atomic { zone.epoch < MAX_EPOCH -> d_step { NewEpoch() } }
	:: atomic {
		index < MAX_INDEX ->
		if
		:: r = 0
		:: r = 1
		fi;
		if
		:: fits && zone.records[r].state == Absent -> d_step { Reserve(r) }
		:: zone.records[r].state == Loading || zone.records[r].state == Ready -> d_step { Transition(r, Unloading) }
		:: mayFollow(zone) -> d_step { FollowRecord(r) }
		:: else
		fi;
		r = 0
	}
	:: atomic { reported && report.incarnation > zone.incarnation && index < MAX_INDEX -> d_step { RegisterIncarnation() } }
	:: atomic {
		if
		:: r = 0
		:: r = 1
		fi;
		if
		:: isLate = false
		:: isLate = true
		fi;
		slot = 0;
		do
		:: slot < DELAYED - 1 -> slot++
		:: break
		od;
		if
		:: d_step { SendOrder(zone, r) }
		:: stale.epoch > 0 -> d_step { SendOrder(stale, r) }
#ifdef BROKEN_ORDER_BEFORE_RESERVATION
		:: fits && zone.records[r].state == Absent ->
			d_step { number = index + 1; setOrder(arriving, Load, r, zone, number); number = 0; TakeOrder() }
#endif
		fi;
		r = 0; isLate = false; slot = 0
	}
	od
}

active proctype EngineSide() {
	byte i, r, slot;
end:
	do
	:: atomic { d_step { Report() } }
	:: atomic {
		if
		:: r = 0
		:: r = 1
		fi;
		if
		:: engine.state[r] == Loading -> engine.state[r] = Ready
		:: engine.state[r] == Loading -> engine.state[r] = Absent; engine.order[r] = 0 /* the load failed */
		:: engine.state[r] == Unloading -> engine.state[r] = Absent; engine.order[r] = 0
		:: else
		fi;
		r = 0
	}
	:: atomic { engine.incarnation < MAX_INCARNATION -> d_step { RestartEngine() } }
	:: atomic {
		slot = 0;
		do
		:: slot < DELAYED - 1 -> slot++
		:: break
		od;
		skip;
		d_step {
			if
			:: delayed[slot].kind != None ->
				arriving.kind = delayed[slot].kind;
				arriving.row = delayed[slot].row;
				arriving.epoch = delayed[slot].epoch;
				arriving.number = delayed[slot].number;
				arriving.incarnation = delayed[slot].incarnation;
				TakeOrder()
			:: else
			fi;
			slot = 0
		}
	}
	od
}
