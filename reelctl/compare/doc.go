// Package compare lists the fields in which two configurations differ. It does not validate them.
package compare
