// Package target speaks the targets' protocol: JSON over HTTP POST, one request for each sub-request.
package target
