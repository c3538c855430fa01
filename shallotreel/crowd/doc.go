// Package crowd has the tests of one instance, as a process of its own with little memory and few descriptors, beside many clients that do
// not behave. They run only with -alone, one at a time and apart from other load.
package crowd
