// Package traffic queries all instances that proxy requests to targets and summarizes which data centres are evacuated,
// which targets are cold, and which requests are refused because of overload.
package traffic
