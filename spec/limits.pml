/*
 * A limit that is one over all routers, across changes of leaders. Written after
 * quota/window.go, quota/divider.go, domainnode/reserving.go and limiter/limiter.go.
 *
 * Time goes on in steps; WINDOW of them make a window, of which the limit allows MOST units.
 * Before a leader grants a unit it puts a reservation in the log, which may be granted for
 * LIFE steps. A new leader knows the log alone, and counts each reservation as granted when it
 * ended. Routers hold up to LENT units as leases, which end LEASE steps after they were lent.
 * What they hold they spend at any time. In any window, MOST and LENT units are spent at most.
 *
 * check -DMAX_TIME=8
 *
 * broken FORGET_RESERVATIONS breaks WithinBound -DMAX_TIME=8
 * broken GRANT_UNRESERVED breaks WithinBound -DMAX_TIME=8
 * broken GRANT_OLD_RESERVATIONS breaks WithinBound -DMAX_TIME=8
 * broken LEND_AT_ONCE breaks WithinBound -DMAX_TIME=8
 * broken HOLD_AFTER_RESTART breaks WithinBound -DMAX_TIME=8
 */
#ifndef MAX_TIME
#define MAX_TIME 8
#endif
#define WINDOW 3
#define MOST 2
#define LENT 1
#define LIFE 1
#define LEASE 2
#define ROUTERS 2
#define MAX_LEADERS 3
#ifdef FOCUS /* one invariant alone */
#define always(name, condition) name = (name && (condition)); assert(FOCUS)
#else
#define always(name, condition) name = (condition); assert(name)
#endif

bool WithinBound = true;

byte now = WINDOW; /* so that all windows begin at 0 or later */
/* By time: what was spent, what is in the log, and what the present leader granted. */
byte spent[MAX_TIME + WINDOW + 1];
byte logged[MAX_TIME + WINDOW + 1];
byte granted[MAX_TIME + WINDOW + 1];
byte available[MAX_TIME + WINDOW + 1]; /* reserved by the present leader at a time, and not granted */
byte inherited[MAX_TIME + WINDOW + 1]; /* what was in the log when the present leader began */
byte began;
byte leaders;
byte held[ROUTERS];
byte until[ROUTERS];
byte lentUntil[ROUTERS]; /* what the present leader believes of its leases */
byte router;

/* What counts as granted in the window that ends now. A reservation of a former leader may have
   been granted LIFE steps after it was made. */
#define used (granted[now] + granted[now - 1] + granted[now - 2] + available[now] + available[now - 1] + \
	inherited[now] + inherited[now - 1] + inherited[now - 2] + inherited[now - 3])

inline spend(amount) {
	spent[now] = spent[now] + amount;
	always(WithinBound, spent[now] + spent[now - 1] + spent[now - 2] <= MOST + LENT)
}

inline take() {
	if
	:: available[now - 1] > 0 -> available[now - 1]--
	:: else -> available[now]--
	fi;
	granted[now]++
}

inline elect() {
	leaders++;
	began = now;
	router = 0;
	do
	:: router <= now ->
#ifndef BROKEN_FORGET_RESERVATIONS
		inherited[router] = logged[router];
#endif
		granted[router] = 0;
		available[router] = 0;
		router++
	:: else -> break
	od;
	lentUntil[0] = 0;
	lentUntil[1] = 0;
	router = 0
}

#ifdef BROKEN_GRANT_UNRESERVED
#define grantable (used < MOST)
#else
#ifdef BROKEN_GRANT_OLD_RESERVATIONS
#define grantable (available[now] + available[now - 1] + available[now - 2] > 0)
#else
#define grantable (available[now] + available[now - 1] > 0)
#endif
#endif

#ifdef BROKEN_LEND_AT_ONCE
#define mayLend true
#else
#define mayLend (leaders == 1 || now >= began + LEASE)
#endif

active proctype Site() {
	leaders = 1;
	do
	:: now < MAX_TIME -> now++
	:: leaders < MAX_LEADERS -> d_step { elect() }
	/* The leader reserves. */
	:: used < MOST -> d_step { logged[now]++; available[now]++ }
	/* A request that waits is granted its unit, and runs. */
	:: grantable -> d_step {
#ifdef BROKEN_GRANT_UNRESERVED
		granted[now]++;
#else
#ifdef BROKEN_GRANT_OLD_RESERVATIONS
		if
		:: available[now - 2] > 0 -> available[now - 2]--; granted[now]++
		:: else -> take()
		fi;
#else
		take();
#endif
#endif
		spend(1)
	}
	/* A router is lent a unit. */
	:: grantable && mayLend && lentUntil[0] <= now && lentUntil[1] <= now -> d_step {
#ifdef BROKEN_GRANT_UNRESERVED
		granted[now]++;
#else
		take();
#endif
		held[0] = 1;
		until[0] = now + LEASE;
		lentUntil[0] = until[0]
	}
	:: grantable && mayLend && lentUntil[0] <= now && lentUntil[1] <= now -> d_step {
#ifdef BROKEN_GRANT_UNRESERVED
		granted[now]++;
#else
		take();
#endif
		held[1] = 1;
		until[1] = now + LEASE;
		lentUntil[1] = until[1]
	}
	/* A router spends what it holds. */
	:: held[0] > 0 && now < until[0] -> d_step {
		held[0] = 0;
		spend(1)
	}
	:: held[1] > 0 && now < until[1] -> d_step {
		held[1] = 0;
		spend(1)
	}
#ifdef BROKEN_HOLD_AFTER_RESTART
	/* A router that restarts holds what it once was lent. */
	:: now < until[0] && held[0] == 0 -> held[0] = 1
#endif
	:: now == MAX_TIME -> break
	od
}
