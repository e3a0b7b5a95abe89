// Package kit groups the packages that test and evaluate the product and are not
// part of it. The command lotusferrylab runs most of them. A test ensures that no
// package of the product imports them.
//
// The packages and their uses:
//
//   - emulator: emulators of engines and the weight store that implement the engine
//     protocol, for tests of engine clients.
//   - lab: a whole site as processes on loopback addresses, under load and faults,
//     checked by what clients observe (lotusferrylab demo, fleet, load). Use it for
//     end-to-end trials of a change.
//   - simulate: the decision code of whole sites in virtual time, from seeds, with faults
//     and mutations (lotusferrylab simulate). Use it to check invariants.
//   - experiment: days of requests replayed in virtual time under several placement
//     policies (lotusferrylab experiment). Use it to compare policies.
//   - overload: goodput, waits and fairness beyond capacity (lotusferrylab overload). Use
//     it for changes to admission and retries.
//   - capacity: the resource cost of each role, as slopes over several sizes
//     (lotusferrylab capacity). Use it after changes to what a role stores or sends.
//   - report: tables and plots for the other packages.
//   - labcommand: the command line of lotusferrylab.
//
// The soak test of the users' platform uses that platform's names and is therefore in
// platform/soak. Example days for the users' bench are in examples/days.
package kit
