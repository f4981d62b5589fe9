// Package fleet tries policies of the gateways in virtual time: it runs core/fleet and core/shed, as the product does, against
// simulated engines that know no priorities, resume streams of items, and are shared by gateways that hear of each other's loads a
// few milliseconds late. A minute of a fleet takes less than a second.
//
// The model of an engine: a number of slots, a queue in the order of arrival, a fixed time for a prompt and for each event,
// whatever else runs. A cancelled item gives its slot back at once, and resumes elsewhere for its prompt's time. Not in the
// model: memory for tokens, failures, answers that get lost, the processor time of gateways. Policies may be compared
// with it; its shares are not those of a real fleet.
package fleet
