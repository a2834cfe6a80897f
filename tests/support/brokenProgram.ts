/**
 * A program whose host stands for any: an exception that nobody handles is thrown while it runs, and it then stops.
 *
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";
import { RunningProgram } from "../../platform/_runningProgram.js";
import { createDecisionLog, createEntryMetrics } from "../../src/observability/index.js";

const logger = createDecisionLog({ fields: { host: "entry-1" } });
const metrics = createEntryMetrics();
const program = new RunningProgram();
program.setLogger(logger);
if (process.argv[2] === "running") {
    program.setHost(
        { reload: () => undefined, close: () => Promise.resolve(), stop: () => Promise.resolve() },
        metrics,
    );
}
setImmediate(() => {
    throw new Error("thrown by a timer");
});
void Promise.reject(new Error("rejected for nobody"));
await delay(200);
const counted = (await metrics.render()).split("\n").filter(line => line.includes("uncaught_errors_total{"));
logger.info("still runs", { counted: counted.join(" ") });
process.kill(process.pid, "SIGTERM");
await delay(1_000);
