// Package waiting describes how urgent a request is, how long it can wait and how much work
// it is. Queueing, rejections, placement planning and the order of resumed streams use the same
// Ticket.
package waiting
