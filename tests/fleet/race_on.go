//go:build race

package fleet

const race = true
