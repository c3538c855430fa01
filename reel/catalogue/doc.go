// Package catalogue holds what an instance knows of routes, services and the targets that serve them.
package catalogue
