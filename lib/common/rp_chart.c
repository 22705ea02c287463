/* Parser and lookup of state charts. */
#include "rp_chart.h"

#include <assert.h>
#include <string.h>

#define WORDS_PER_LINE 4

/* Returns the index of `word` in `names`, or -1. */
static int
find_name(const char *const *names, struct rp_str word)
{
    for (int i = 0; names[i]; i++) {
        if (RpStr_Equal(RpStr_FromC(names[i]), word)) {
            return i;
        }
    }
    return -1;
}

/* Splits a line at blanks; stores the first words and returns the number of
 * all words. */
static size_t
split_words(struct rp_str line, struct rp_str words[WORDS_PER_LINE])
{
    size_t count = 0;

    line = RpStr_Trim(line);
    while (line.len) {
        struct rp_str rest;
        struct rp_str word = RpStr_Split(line, ' ', &rest);
        if (count < WORDS_PER_LINE) {
            words[count] = word;
        }
        count++;
        line = RpStr_Trim(rest);
    }
    return count;
}

/* Parses one line without its comment and stores its transition, if any. */
static enum rp_code
parse_line(struct rp_chart *chart, const struct rp_chart_names *names,
           struct rp_str line, const char *place, struct rp_error *error)
{
    struct rp_str words[WORDS_PER_LINE];
    size_t count = split_words(line, words);

    if (count == 0) {
        return RP_OK;
    }
    if (count != WORDS_PER_LINE) {
        return RpError_Add(
            error, RP_ERR_FORMAT, place,
            "expected four words (state event next-state action), "
            "found %zu",
            count);
    }
    int state = find_name(names->states, words[0]);
    int event = find_name(names->events, words[1]);
    int next = find_name(names->states, words[2]);
    int action = find_name(names->actions, words[3]);
    if (state < 0 || event < 0 || next < 0 || action < 0) {
        return RpError_Add(error, RP_ERR_FORMAT, place,
                           "unknown state, event or action in \"%.*s\"",
                           (int)line.len, line.data);
    }
    assert(state < RP_CHART_MAX_STATES && event < RP_CHART_MAX_EVENTS);
    struct rp_chart_step *step = &chart->steps[state][event];
    if (step->listed) {
        return RpError_Add(error, RP_ERR_FORMAT, place,
                           "second transition for state %s and event %s",
                           names->states[state], names->events[event]);
    }
    *step = (struct rp_chart_step){
        .next = (uint8_t)next, .action = (uint8_t)action, .listed = 1};
    return RP_OK;
}

/* Makes every event keep the state and do nothing. */
static void
set_defaults(struct rp_chart *chart)
{
    for (uint8_t state = 0; state < RP_CHART_MAX_STATES; state++) {
        for (uint8_t event = 0; event < RP_CHART_MAX_EVENTS; event++) {
            chart->steps[state][event].next = state;
        }
    }
}

enum rp_code
RpChart_Parse(struct rp_chart *chart, const struct rp_chart_names *names,
              struct rp_str text, const char *file, struct rp_error *error)
{
    enum rp_code result = RP_OK;

    memset(chart, 0, sizeof *chart);
    set_defaults(chart);
    for (unsigned number = 1; text.len; number++) {
        struct rp_str comment;
        struct rp_str rest;
        struct rp_str line = RpStr_Split(text, '\n', &rest);
        gchar *place = g_strdup_printf("%s line %u", file, number);

        line = RpStr_Split(line, '#', &comment);
        enum rp_code code = parse_line(chart, names, line, place, error);
        g_free(place);
        if (code != RP_OK) {
            result = code;
        }
        text = rest;
    }
    return result;
}

struct rp_chart_step
RpChart_Step(const struct rp_chart *chart, uint8_t state, uint8_t event)
{
    assert(state < RP_CHART_MAX_STATES && event < RP_CHART_MAX_EVENTS);
    return chart->steps[state][event];
}
