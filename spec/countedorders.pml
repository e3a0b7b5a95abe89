/*
 * Orders to one runner that carry the number of orders it is expected to have taken,
 * across a change of the leader. Written after residency/planner.go, residency/plan.go
 * and residency/runner.go (reconcile).
 *
 * The runner has room for two of three models. A load takes a while, during which the
 * runner takes no order about a model, and what it loads is not in its report. An order
 * may be answered, lost, or executed at any later time without an answer, also after
 * its leader was replaced. A heartbeat shows what the runner held when it was made, and
 * may come much later. A leader sends one order at a time; after one without an
 * answer it asks the runner before the next. Reports are taken to be of the present: an
 * older one only names a number that the runner has passed.
 *
 * check -DMAX_ORDERS=4
 * check -DMAX_ORDERS=5 -DMAX_LATE=1
 *
 * broken IGNORE_NUMBER breaks OneOfTwo -DMAX_ORDERS=4
 * broken IGNORE_NUMBER_ROOM breaks RoomHeld -DMAX_ORDERS=4
 * broken TRUST_BUSY_REPORT breaks RoomHeld -DMAX_ORDERS=4
 * broken TRUST_LATE_HEARTBEAT breaks RoomHeld -DMAX_ORDERS=4
 * broken IGNORE_TOKEN_AND_NUMBER breaks TokensRise -DMAX_ORDERS=4
 *
 * The numbers alone keep orders of a former leader from being executed after one of the
 * next: with the runner's check of tokens taken out, all three invariants still hold.
 */
#ifndef MAX_ORDERS
#define MAX_ORDERS 4
#endif
#ifndef MAX_LATE
#define MAX_LATE 2
#endif
#define MODELS 3
#define ROOM 2
#define NOTHING 0
#ifdef FOCUS /* one invariant alone */
#define always(name, condition) name = (name && (condition)); assert(FOCUS)
#else
#define always(name, condition) name = (condition); assert(name)
#endif
#define bit(n) (1 << ((n) - 1))
#define size(mask) (((mask) & 1) + (((mask) >> 1) & 1) + (((mask) >> 2) & 1))

bool RoomHeld = true;   /* the runner is never ordered to hold more than it has room for */
bool OneOfTwo = true;   /* of two orders with the same number one is executed at most */
bool TokensRise = true; /* no order of a former leader is executed after one of the next */

typedef Order {
	bool isLoad;
	byte model; /* 1 to MODELS */
	byte expected;
	byte token;
};

/* The runner. */
byte holds;   /* mask of models */
byte loading; /* the model that is being loaded, or NOTHING */
byte taken;
byte newest; /* the highest token seen */
byte executedToken;
byte executedFor; /* mask of numbers for which an order was executed */

/* Orders that were not answered and may still be executed. */
Order late[MAX_LATE];
byte lateCount;
byte sentCount;

/* A heartbeat on its way, and what it lists. */
bool isBeating;
byte beat;

/* What the present leader believes. */
byte token = 1;
byte counted; /* models that the runner holds, loads, or may load, as the leader knows */
byte known;   /* models that the runner holds, as the leader knows */
byte expects;
bool isTakenKnown;
byte awaits; /* the model whose load the leader knows to be under way, or NOTHING */

#if defined(BROKEN_IGNORE_NUMBER) || defined(BROKEN_IGNORE_NUMBER_ROOM) || defined(BROKEN_IGNORE_TOKEN_AND_NUMBER)
#define numberHolds(order) true
#else
#define numberHolds(order) (order.expected == taken)
#endif
#ifdef BROKEN_IGNORE_TOKEN_AND_NUMBER
#define tokenHolds(order) true
#else
#define tokenHolds(order) (order.token >= newest)
#endif

/* Execute lets the runner take the order, if it may; done tells whether it did. */
inline Execute(order, done) {
	done = false;
	if
	:: !tokenHolds(order) || !numberHolds(order) || loading != NOTHING
	:: else ->
		if
		:: order.isLoad == ((holds & bit(order.model)) != 0) /* it is so already */
		:: else ->
			always(OneOfTwo, (executedFor & (1 << order.expected)) == 0);
			always(TokensRise, order.token >= executedToken);
			executedFor = executedFor | (1 << order.expected);
			executedToken = order.token;
			if
			:: order.isLoad ->
				always(RoomHeld, size(holds) + 1 <= ROOM);
				loading = order.model
			:: else -> holds = holds & ~bit(order.model)
			fi;
			taken++;
			done = true
		fi
	fi;
	if
	:: order.token > newest -> newest = order.token
	:: else
	fi
}

/* Send sends an order of the present leader, and decides what becomes of it. */
inline Send() {
	d_step {
		sentCount++;
		current.expected = expects;
		current.token = token
	}
	if
	:: /* answered */
		Execute(current, isDone);
		if
		:: isDone ->
			expects = taken;
			if
			:: current.isLoad -> counted = counted | bit(current.model); awaits = current.model
			:: else -> counted = counted & ~bit(current.model); known = known & ~bit(current.model)
			fi
		:: else -> isTakenKnown = false
		fi
	:: /* lost before it came there */
		isTakenKnown = false
	:: lateCount < MAX_LATE -> /* executed later, if at all */
		d_step {
			late[lateCount].isLoad = current.isLoad;
			late[lateCount].model = current.model;
			late[lateCount].expected = current.expected;
			late[lateCount].token = current.token;
			lateCount++;
			isTakenKnown = false
		}
	fi
}

active proctype leader() {
	Order current;
	bool isDone;
	byte model;
	do
	:: atomic { !isTakenKnown && awaits == NOTHING -> /* ask for a report */
		if
#ifndef BROKEN_TRUST_BUSY_REPORT
		:: loading != NOTHING /* ask again later */
#endif
		:: else ->
			known = holds;
			counted = holds;
			expects = taken;
			isTakenKnown = true
		fi }
	:: atomic { isTakenKnown && awaits == NOTHING && sentCount < MAX_ORDERS && size(counted) < ROOM ->
		select(model : 1 .. MODELS);
		if
		:: (counted & bit(model)) == 0 ->
			current.isLoad = true;
			current.model = model;
			Send()
		:: else
		fi }
	:: atomic { isTakenKnown && awaits == NOTHING && sentCount < MAX_ORDERS && known != 0 ->
		select(model : 1 .. MODELS);
		if
		:: (known & bit(model)) != 0 ->
			current.isLoad = false;
			current.model = model;
			Send()
		:: else
		fi }
	:: atomic { awaits != NOTHING && (holds & bit(awaits)) != 0 -> /* a heartbeat says that it is loaded */
		known = known | bit(awaits);
		awaits = NOTHING }
	:: atomic { isBeating && awaits == NOTHING -> /* a heartbeat that was late comes */
		isBeating = false;
#ifdef BROKEN_TRUST_LATE_HEARTBEAT
		known = known & beat;
		counted = counted & beat
#else
		if
		:: (known & ~beat) != 0 -> isTakenKnown = false /* ask the runner */
		:: else
		fi
#endif
		}
	:: atomic { token == 1 -> /* another leader takes over, which knows nothing */
		token = 2;
		counted = 0;
		known = 0;
		isTakenKnown = false;
		awaits = NOTHING }
	:: atomic { sentCount == MAX_ORDERS && lateCount == 0 && loading == NOTHING -> break }
	od
}

active proctype runner() {
	bool isDone;
	byte index;
end:
	do
	:: atomic { loading != NOTHING -> /* the load is done */
		holds = holds | bit(loading);
		loading = NOTHING }
	:: atomic { !isBeating && taken < MAX_ORDERS -> /* a heartbeat is made */
		isBeating = true;
		beat = holds }
	:: atomic { lateCount > 0 -> /* a late order comes, or never does */
		if
		:: Execute(late[lateCount - 1], isDone)
		:: Execute(late[0], isDone);
			d_step {
				index = lateCount - 1;
				late[0].isLoad = late[index].isLoad;
				late[0].model = late[index].model;
				late[0].expected = late[index].expected;
				late[0].token = late[index].token;
				index = 0
			}
		:: skip
		fi;
		lateCount-- }
	od
}
