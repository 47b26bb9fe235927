// Package eelgrassbeam defines the domain types of a global traffic steering system and the interfaces between its
// components. The subpackages implement them.
package eelgrassbeam
