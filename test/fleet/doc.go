// Package fleet runs many hosts in virtual time before targets in trouble, and checks what reaches these targets: targets
// that say something of themselves in their answers, and work that ends the targets that run it.
package fleet
