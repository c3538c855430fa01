// Package holder decides, for one target, which sub-requests run on it, wait for it or are refused.
package holder
