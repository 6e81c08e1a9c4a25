/* Series of measured points and the line through them. */
#ifndef BENCH_FIT_H
#define BENCH_FIT_H

#include <stddef.h>

struct fit {
	double slope;
	double intercept;
	double residual_error; /* residual standard error, in the unit of y */
	double max_relative_residual; /* the largest residual over its point */
	double
	    max_spread; /* the widest range of a point's runs over its median */
};

struct series {
	const char *role;
	const char *measure;
	const char *x_name; /* what x counts */
	const char *unit;
	const double *x;
	size_t count;
	double (*point)(double x);
};

/* Measures each point some times, takes medians, fits and prints a line. */
struct fit fit_measure(const struct series *s);
/* One point, the median of its runs. */
double fit_point(const struct series *s, double x);
double fit_at(const struct fit *f, double x);

#endif
