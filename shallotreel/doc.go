// Command shallotreel is the daemon of an instance. It answers the requests of callers by querying targets. Its command
// front runs an instance that proxies the requests of callers to targets instead.
package main
