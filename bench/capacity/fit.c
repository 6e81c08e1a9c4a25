/* Fits lines by least squares to the medians of repeated measurements. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "fit.h"

#define RUNS_PER_POINT 5
#define MAX_POINTS 8

static int
compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

static double
measure_median(const struct series *s, double x, double *spread)
{
	double y[RUNS_PER_POINT], range;

	for (int i = 0; i < RUNS_PER_POINT; i++)
		y[i] = s->point(x);
	qsort(y, RUNS_PER_POINT, sizeof(*y), compare_doubles);
	range = y[RUNS_PER_POINT / 2] != 0
		    ? (y[RUNS_PER_POINT - 1] - y[0]) / y[RUNS_PER_POINT / 2]
		    : 0;
	if (range > *spread)
		*spread = range;
	return y[RUNS_PER_POINT / 2];
}

static void
fit_line(const double *x, const double *y, size_t n, struct fit *f)
{
	double sx = 0, sy = 0, sxx = 0, sxy = 0, sum = 0;

	for (size_t i = 0; i < n; i++) {
		sx += x[i];
		sy += y[i];
		sxx += x[i] * x[i];
		sxy += x[i] * y[i];
	}
	f->slope = ((double)n * sxy - sx * sy) / ((double)n * sxx - sx * sx);
	f->intercept = (sy - f->slope * sx) / (double)n;
	for (size_t i = 0; i < n; i++) {
		double r = y[i] - fit_at(f, x[i]);

		sum += r * r;
		if (y[i] != 0 && fabs(r / y[i]) > f->max_relative_residual)
			f->max_relative_residual = fabs(r / y[i]);
	}
	f->residual_error = sqrt(sum / (double)(n - 2));
}

double
fit_point(const struct series *s, double x)
{
	double spread = 0;

	return measure_median(s, x, &spread);
}

double
fit_at(const struct fit *f, double x)
{
	return f->intercept + f->slope * x;
}

struct fit
fit_measure(const struct series *s)
{
	struct fit f = {0};
	double y[MAX_POINTS];

	for (size_t i = 0; i < s->count; i++)
		y[i] = measure_median(s, s->x[i], &f.max_spread);
	fit_line(s->x, y, s->count, &f);
	printf("%-7s %-30s of %-9s", s->role, s->measure, s->x_name);
	for (size_t i = 0; i < s->count; i++)
		printf(" %g:%.4g", s->x[i], y[i]);
	printf("  slope %.4g intercept %.4g %s error %.2g (%.0f%%) spread "
	       "%.0f%%\n",
	    f.slope, f.intercept, s->unit, f.residual_error,
	    100 * f.max_relative_residual, 100 * f.max_spread);
	(void)fflush(stdout);
	return f;
}
