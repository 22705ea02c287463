/* Histograms and their text format. */
#include "rp_histogram.h"

#include "rp_time.h"

static const struct {
    const char *name;
    const char *help;
} descriptions[RP_HISTOGRAM_COUNT] = {
#define RP_HISTOGRAM_ROW(symbol, name, help) {name, help},
    RP_HISTOGRAM_LIST(RP_HISTOGRAM_ROW)
#undef RP_HISTOGRAM_ROW
};

static const int64_t bounds_ms[RP_HISTOGRAM_BUCKETS - 1] = {
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000};

void
RpHistogram_Add(struct rp_histogram *histogram, int64_t duration_us)
{
    size_t i = 0;

    duration_us = MAX(duration_us, 0);
    while (i < RP_HISTOGRAM_BUCKETS - 1 &&
           duration_us > bounds_ms[i] * RP_US_PER_MS) {
        i++;
    }
    histogram->bucket[i]++;
    histogram->count++;
    histogram->sum_us += duration_us;
}

static void
format_histogram(const struct rp_histogram *histogram, enum rp_histogram_id id,
                 const char *role, GString *out)
{
    const char *name = RpHistogram_Name(id);
    uint64_t cumulative = 0;

    g_string_append_printf(out,
                           "# HELP radishport_%s %s\n"
                           "# TYPE radishport_%s histogram\n",
                           name, RpHistogram_Help(id), name);
    for (size_t i = 0; i < RP_HISTOGRAM_BUCKETS - 1; i++) {
        cumulative += histogram->bucket[i];
        g_string_append_printf(
            out,
            "radishport_%s_bucket{role=\"%s\",le=\"%g\"} %" G_GUINT64_FORMAT
            "\n",
            name, role, (double)bounds_ms[i] / 1000.0, cumulative);
    }
    g_string_append_printf(
        out,
        "radishport_%s_bucket{role=\"%s\",le=\"+Inf\"} %" G_GUINT64_FORMAT
        "\nradishport_%s_sum{role=\"%s\"} %.6f\n"
        "radishport_%s_count{role=\"%s\"} %" G_GUINT64_FORMAT "\n",
        name, role, histogram->count, name, role,
        (double)histogram->sum_us / (double)RP_US_PER_SECOND, name, role,
        histogram->count);
}

void
RpHistograms_Format(const struct rp_histograms *histograms, const char *role,
                    GString *out)
{
    for (int i = 0; i < RP_HISTOGRAM_COUNT; i++) {
        format_histogram(&histograms->item[i], (enum rp_histogram_id)i, role,
                         out);
    }
}

const char *
RpHistogram_Name(enum rp_histogram_id id)
{
    return descriptions[id].name;
}

const char *
RpHistogram_Help(enum rp_histogram_id id)
{
    return descriptions[id].help;
}
