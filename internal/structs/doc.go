// Package structs holds the types that several packages share. It imports no
// other package of the project.
package structs
