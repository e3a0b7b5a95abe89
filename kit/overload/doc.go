// Package overload measures what a zone gives its callers when more comes than
// it can carry, in virtual time: several routers share the engines of a zone, and
// see the engines' load and caches late.
//
// What decides is the daemons' own code: router.Core, with admission and routing,
// and emulator.Engine. Each scenario runs under every Policy with the same
// arrivals: the real one, the real one with plainer routing, and a FIFO queue
// that refuses nothing early. All figures come from the callers' side, and a
// checker judges that each request got one terminal answer in time.
//
// A run is a function of its options and of the seed. It uses one goroutine;
// several seeds run side by side.
package overload
