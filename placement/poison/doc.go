// Package poison finds requests that crash the runners that run them, and says what
// becomes of those that come again.
//
// Routers report which requests were under way at a runner when its connections broke. A
// Tracker, at the leader of the controllers, adds up what all of them saw. Much of what was under way
// is harmless: it shared a runner with the request that crashed it, was moved on together with it,
// or was unlucky with runners that went for other reasons. So a request that was under way at
// enough losses is not refused but tried: it may run once more, at one runner at a time and
// beside no other suspect. If it ends well it is cleared, and if its runner is lost again it is
// refused for a while.
//
// A loss counts only while nothing says that it was none: a runner that had said that it
// leaves, or whose heartbeats go on, was not crashed.
package poison
