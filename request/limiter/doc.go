// Package limiter admits the requests of tenants at one router within the shares of their
// rate limits that the router holds. The router requests these shares from the leader (package
// quota). Requests beyond the held share wait for the leader's answer.
//
// Time is passed as an argument, and the caller makes the calls to the leader.
package limiter
