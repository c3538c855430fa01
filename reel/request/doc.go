// Package request decides the attempts of one request: first tries, hedges, retries and its end.
package request
