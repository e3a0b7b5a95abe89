package simulate

// RequestCounts are the totals of the requests scenario over all seeds.
type RequestCounts struct {
	// Submitted counts the submissions of requests; the next five count their
	// endings as seen by the callers.
	Submitted int `json:"submitted"`
	Whole     int `json:"whole"`
	Replayed  int `json:"replayed"`
	Refused   int `json:"refused"`
	Broken    int `json:"broken"`
	Gone      int `json:"gone"`
	// NotRun and Unknown count the refusals by their reported execution state.
	NotRun  int `json:"not_run"`
	Unknown int `json:"outcome_unknown"`
	// Lost counts the submissions without an ending.
	Lost int `json:"lost"`
	// Attempts and Retries count the attempts that routers sent to engines, Stalls
	// those abandoned because the engine was unresponsive.
	Attempts int `json:"attempts"`
	Retries  int `json:"retries"`
	Stalls   int `json:"stalls"`
	// Offered counts the requests offered to routers of other zones, OffersTaken
	// those executed there.
	Offered     int `json:"offered"`
	OffersTaken int `json:"offers_taken"`
	// Keys counts the idempotency keys in use, KeysRun those whose request ran.
	Keys    int `json:"keys"`
	KeysRun int `json:"keys_run"`
	// Live and LiveWhole count the live requests and those with a complete answer by
	// their deadline.
	Live      int `json:"live"`
	LiveWhole int `json:"live_whole"`
	// KeepersDied counts the routers that died right after the end of an answer that
	// they store, AnswersGone the refusals because of a lost answer.
	KeepersDied int `json:"keepers_died"`
	AnswersGone int `json:"answers_gone"`
	// ClaimsHeld counts the claims that had not ended when the seed did.
	ClaimsHeld int `json:"claims_held"`
}

func (c *RequestCounts) add(other RequestCounts) {
	c.Submitted += other.Submitted
	c.Whole += other.Whole
	c.Replayed += other.Replayed
	c.Refused += other.Refused
	c.Broken += other.Broken
	c.Gone += other.Gone
	c.NotRun += other.NotRun
	c.Unknown += other.Unknown
	c.Lost += other.Lost
	c.Attempts += other.Attempts
	c.Retries += other.Retries
	c.Stalls += other.Stalls
	c.Offered += other.Offered
	c.OffersTaken += other.OffersTaken
	c.Keys += other.Keys
	c.KeysRun += other.KeysRun
	c.Live += other.Live
	c.LiveWhole += other.LiveWhole
	c.KeepersDied += other.KeepersDied
	c.AnswersGone += other.AnswersGone
	c.ClaimsHeld += other.ClaimsHeld
}
