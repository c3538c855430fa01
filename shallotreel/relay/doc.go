// Package relay lets an instance that reaches no target serve its callers by way of another instance, over net/rpc. A request
// goes over one such hop only: the helper never hands it on.
package relay
