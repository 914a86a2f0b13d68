// Package model is a discrete-event simulation of a fleet of image servers, for fleets of up to thousands of servers. It runs
// in one goroutine, faster than real time. The decision code is the one that ships: admission, internal/overload and the
// records of internal/fleet. The servers, agents, stores, front ends and the network around that code are models.
//
// The simulation is deterministic: the same options, including the seed, give the same history, event for event.
//
// The model leaves out:
//
//   - sockets, and the processor time of the image servers themselves;
//   - the memory of servers and agents;
//   - the paths of single gossip messages: an update reaches all servers at the same time, after a delay that depends on
//     the size of the fleet;
//   - loss of messages between servers.
package model
