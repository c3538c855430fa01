// Package story joins the logs of several instances into what happened to one request.
package story
