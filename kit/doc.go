// Package kit holds the rehearsal kit: all that tries the product out and is no part of it.
// The command lotusferrylab runs most of it. Nothing of the product imports a package of
// this folder; a test holds that.
//
// What is where, and when to use it:
//
//   - emulator: stand-ins for engines and the weight store that speak the engines'
//     protocol. Use them in tests of whatever talks to an engine.
//   - lab: a whole site as processes on loopback addresses, under load and faults, checked
//     from what callers see (lotusferrylab demo, fleet, load). Use it to see a change work.
//   - simulate: the decision code of whole sites in virtual time, from seeds, with faults
//     and mutations (lotusferrylab simulate). Use it for what must always hold.
//   - experiment: days of calls replayed in virtual time against several ways to place
//     replicas (lotusferrylab experiment). Use it to compare policies.
//   - overload: goodput, waits and fairness beyond capacity (lotusferrylab overload). Use
//     it for changes of admission and retries.
//   - capacity: what each role costs, as slopes over several sizes (lotusferrylab
//     capacity). Use it after changes of what a role keeps or sends.
//   - report: tables and plots of the others.
//   - labcommand: the command line of lotusferrylab.
//
// The soak of the users' platform speaks that platform's names, and so stands in
// platform/soak. Days of our own for the users' bench are in examples/days.
package kit
