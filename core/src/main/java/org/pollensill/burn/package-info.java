/** Service-level objectives: request counters, error budgets, multi-window burn-rate alerts, and the report. */
package org.pollensill.burn;
