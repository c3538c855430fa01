// Package contact tells whether this instance still hears the platform or a majority of the voters.
package contact
