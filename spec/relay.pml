/*
 * Routers that follow a leader through a relay. Written after part B of docs/design/continuity.md.
 *
 * A leader publishes revisions; one of them tells that a runner has departed, and that is acknowledged once every
 * router that the leader counts as active has said that it has the revision. A leader counts a router for ACTIVE
 * after it asked: itself, or the relay, which names it with what it has. A new leader knows no router; it begins
 * once the former one answers no more.
 *
 * The relay has one question under way at a time, and mirrors the answer. It answers a router only if the answer
 * of the leader is to a question asked within CURRENT, has no less than the router, and is to a question that
 * named the router not long before. The router asks the relay or the leader, has one question under way, and
 * ignores a term lower than its own. It is in contact for LIFE after it asked, or after the relay asked the leader
 * if that was earlier, which the answer tells; contact with a former leader does not count for the next. Questions and answers may be lost, or take up to WAIT.
 *
 * Time goes on in steps without end: the model keeps how long ago something was, as long as that matters.
 * Left out: the bound on the wait for routers, after which a departure is acknowledged without them, and routers
 * that start again under their names.
 *
 * check
 *
 * broken FORMER_LEADER breaks ContactEnds
 * broken COUNT_FROM_ROUTER breaks ContactEnds
 * broken GOES_BACK breaks NeverBack
 * broken RELAY_ACKNOWLEDGES breaks DepartedStays
 * broken UNNAMED_ROUTER breaks DepartedStays
 */
#define MAX_TERMS 2
#define CURRENT 1
#define HOLD 1
#define LIFE 1
#define WAIT 1
#define ACTIVE (HOLD + LIFE)
#define NONE 15
#ifdef FOCUS /* one invariant alone */
#define always(name, condition) name = (name && (condition)); assert(FOCUS)
#else
#define always(name, condition) name = (condition); assert(name)
#endif

bool ContactEnds = true;   /* no router is in contact with a former leadership LIFE after the next began */
bool NeverBack = true;     /* a router never goes back in terms, or in revisions of a term */
bool DepartedStays = true; /* a router in contact knows each departure that was acknowledged */

/* The leader: its term, how long ago it began, its revision; how long ago the router asked, and the revision of
 * this term that it had. */
byte term = 1;
byte began = LIFE + 1;
byte revision = 1;
byte heard = NONE;
byte heardRevision;
/* The departure, and the revision that tells it first: in later terms, all do. */
byte departedTerm;
byte departedRevision;
bool isAcknowledged;

/* The relay: the mirror, how long ago it asked for it, and how long ago the router had asked that was named then. */
byte mirrorTerm;
byte mirrorRevision;
byte mirrorAge = NONE;
byte mirrorNamed = NONE;
/* Its question under way, the router as named there, and the leader's answer, of term 0 for none. */
byte question = NONE;
byte named = NONE;
byte namedTerm;
byte namedRevision;
byte answerTerm;
byte answerRevision;
/* What it knows of the router. */
byte served = NONE;
byte servedTerm;
byte servedRevision;

/* The router: what it has, and how long ago its contact began. */
byte routerTerm;
byte routerRevision;
byte contact = NONE;
/* Its question under way, to the leader of a term or to the relay (0), and the answer, of term 0 for none. */
byte asked = NONE;
byte askedTerm;
byte replyTerm;
byte replyRevision;
byte replyContact = NONE;

#define isCurrent (mirrorAge <= CURRENT)
#define hasNoLess (mirrorTerm > routerTerm || (mirrorTerm == routerTerm && mirrorRevision >= routerRevision))
#define isEarlier (mirrorAge > asked)
#define isNamed (mirrorNamed != NONE && ((isEarlier && mirrorNamed <= mirrorAge + HOLD) || (!isEarlier && mirrorNamed <= asked + HOLD)))

#ifdef BROKEN_FORMER_LEADER
#define mayRelay (mirrorNamed != NONE && hasNoLess)
#else
#ifdef BROKEN_GOES_BACK
#define mayRelay (isCurrent && isNamed)
#else
#ifdef BROKEN_UNNAMED_ROUTER
#define mayRelay (isCurrent && hasNoLess)
#else
#define mayRelay (isCurrent && hasNoLess && isNamed)
#endif
#endif
#endif

#define isTold(ofTerm, ofRevision) (ofTerm > departedTerm || (ofTerm == departedTerm && ofRevision >= departedRevision))

inline check() {
	always(ContactEnds, contact == NONE || routerTerm == term || began <= LIFE);
	always(DepartedStays, !isAcknowledged || contact == NONE || routerTerm != term || isTold(routerTerm, routerRevision))
}

/* The leader learns how long ago the router asked, and what it had. An earlier question tells nothing new. */
inline hear(age, ofTerm, ofRevision) {
	if
	:: age <= heard && !isAcknowledged -> /* afterwards it does not matter */
		heard = age;
		if
		:: ofTerm == term -> heardRevision = ofRevision
		:: else -> heardRevision = 0
		fi
	:: else
	fi
}

inline forgetReply() {
	asked = NONE; askedTerm = 0; replyTerm = 0; replyRevision = 0; replyContact = NONE
}

inline forgetAnswer() {
	question = NONE; named = NONE; namedTerm = 0; namedRevision = 0; answerTerm = 0; answerRevision = 0
}

inline forgetServed() {
	served = NONE; servedTerm = 0; servedRevision = 0
}

/* A step of time; from most on, an age does not matter any more. */
inline grow(age, most) {
	if
	:: age < most -> age++
	:: else -> age = NONE
	fi
}

inline pass() {
	if
	:: began <= LIFE -> began++
	:: else
	fi;
	grow(heard, ACTIVE);
	if
	:: heard == NONE -> heardRevision = 0
	:: else
	fi;
#ifndef BROKEN_FORMER_LEADER
	grow(mirrorAge, CURRENT);
	grow(mirrorNamed, CURRENT + HOLD);
	if
	:: mirrorAge == NONE -> mirrorNamed = NONE; mirrorTerm = 0; mirrorRevision = 0
	:: else
	fi;
#endif
	grow(question, WAIT);
	grow(named, ACTIVE);
	if
	:: question == NONE -> forgetAnswer()
	:: else
	fi;
	grow(served, ACTIVE);
	if
	:: served == NONE -> forgetServed()
	:: else
	fi;
	grow(asked, WAIT);
	grow(replyContact, CURRENT + WAIT);
	if
	:: asked == NONE -> forgetReply()
	:: else
	fi;
	grow(contact, LIFE)
}

active proctype Site() {
	do
	:: d_step { pass(); check() }
	/* The leader. */
	:: departedTerm == 0 -> d_step {
		revision++; departedTerm = term; departedRevision = revision
	}
	:: departedTerm != 0 && !isAcknowledged && (heard == NONE || (heardRevision != 0 && isTold(term, heardRevision))) -> d_step {
		isAcknowledged = true; heard = NONE; heardRevision = 0; check()
	}
	:: term < MAX_TERMS -> d_step {
		term++; began = 0; revision = 1; heard = NONE; heardRevision = 0
	}
	/* The relay asks; the question or its answer may be lost. */
	:: question == NONE -> d_step {
		question = 0; named = served;
#ifdef BROKEN_RELAY_ACKNOWLEDGES
		namedTerm = mirrorTerm; namedRevision = mirrorRevision
#else
		namedTerm = servedTerm; namedRevision = servedRevision
#endif
	}
	:: question != NONE -> d_step { forgetAnswer() }
	:: question != NONE && answerTerm == 0 -> d_step {
		if
		:: named != NONE -> hear(named, namedTerm, namedRevision)
		:: else
		fi;
		answerTerm = term; answerRevision = revision; namedTerm = 0; namedRevision = 0
	}
	:: answerTerm != 0 -> d_step {
		mirrorTerm = answerTerm; mirrorRevision = answerRevision; mirrorAge = question; mirrorNamed = named;
		forgetAnswer()
	}
	/* It starts again. */
	:: mirrorTerm != 0 -> d_step {
		mirrorTerm = 0; mirrorRevision = 0; mirrorAge = NONE; mirrorNamed = NONE;
		forgetServed();
		forgetAnswer()
	}
	/* The router asks the relay or the leader; the question or its answer may be lost. */
	:: asked == NONE -> d_step {
		asked = 0;
		served = 0; servedTerm = routerTerm; servedRevision = routerRevision
	}
	:: asked == NONE -> d_step {
		asked = 0; askedTerm = term;
		hear(0, routerTerm, routerRevision)
	}
	:: asked != NONE -> d_step { forgetReply() }
	/* They answer. */
	:: asked != NONE && askedTerm == term && replyTerm == 0 -> d_step {
		replyTerm = term; replyRevision = revision; replyContact = asked; askedTerm = 0
	}
	:: asked != NONE && askedTerm == 0 && replyTerm == 0 && mirrorTerm != 0 && mayRelay -> d_step {
		replyTerm = mirrorTerm; replyRevision = mirrorRevision; replyContact = asked;
#if !defined(BROKEN_COUNT_FROM_ROUTER) && !defined(BROKEN_FORMER_LEADER)
		if
		:: isEarlier -> replyContact = mirrorAge
		:: else
		fi
#endif
	}
	/* The answer comes. */
	:: replyTerm != 0 -> d_step {
		if
		:: replyTerm >= routerTerm ->
			always(NeverBack, replyTerm > routerTerm || replyRevision >= routerRevision);
			if
			:: replyContact > LIFE -> replyContact = NONE
			:: else
			fi;
			if
			:: replyTerm > routerTerm || replyContact < contact -> contact = replyContact
			:: else
			fi;
			routerTerm = replyTerm; routerRevision = replyRevision;
			check()
		:: else
		fi;
		forgetReply()
	}
	od
}
