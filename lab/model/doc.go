// Package model simulates fleets of up to thousands of servers in one goroutine, faster than real time. It runs the shipped
// decision code (admission, internal/overload, the records of internal/fleet) in models of the servers, stores, front ends
// and network around it. Simulations with the same options, seed included, give the same history, event for event.
//
// It leaves out sockets, the processor time of the servers themselves, memory, and the paths of single gossip messages: an
// update reaches all servers at once, after a time that depends on the size of the fleet, and no message is lost.
package model
