package config

//go:generate go tool easyjson .
