/* Series of measured points and the line through them. */
#ifndef BENCH_FIT_H
#define BENCH_FIT_H

#include <stddef.h>

struct fit {
	double slope;
	double intercept;
	double residual_error;	      /* standard error, in the unit of y */
	double max_relative_residual; /* largest, of its point */
	double max_spread; /* largest range of runs, of their median */
};

/* A figure measured at several values of x. */
struct series {
	const char *role;
	const char *measure;
	const char *x_name; /* what x counts, for the printed line */
	const char *unit;
	const double *x;
	size_t count;
	double (*point)(double x);
};

/*
 * Measures each point several times, fits a line through the medians, prints
 * the points and the line on standard output and returns the line.
 */
struct fit fit_measure(const struct series *s);
/* Returns the median of several measurements at x. */
double fit_point(const struct series *s, double x);
/* Returns the fitted value at x. */
double fit_at(const struct fit *f, double x);

#endif
