/**
 * Restarts hosts that end by themselves, as the platform does, and finds the requests that ended with them.
 *
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";
import { every, now, record } from "./harness.mjs";

/** Time after which the platform starts a process again. */
const RESTART_MILLISECONDS = 500;

/** Requests that the rule LOST tolerates. */
const TOLERATED = 3;

/** Watches the hosts of a deployment, to none of which the script sends a signal. */
export class OwnEnds {
    #ends = [];
    #stop;

    constructor(deployment) {
        const ended = new Set();
        this.#stop = every(50, () => {
            for (const host of deployment.hosts) {
                if (host.restarts && !host.isRunning && !ended.has(host.child)) {
                    ended.add(host.child);
                    const { at, code, signal } = host.ends.at(-1) ?? { at: now() };
                    const error = host.log().split("\n").findLast(line => /^\w*Error/.test(line)) ?? "no error told";
                    record(`host ${host.name} ended by itself, code ${code}, signal ${signal}: ${error}`);
                    this.#ends.push({ host, at, error });
                    void delay(RESTART_MILLISECONDS).then(() => host.restarts && host.start());
                }
            }
        });
    }

    stop() {
        this.#stop();
    }

    /**
     * Returns how LOST was broken: more than three requests from kept connections that a host passed on to a sound
     * engine, and whose connection it closed without an answer. A process that ends by itself counts as running.
     */
    problems(deployment, outcomes) {
        const ran = new Set(deployment.engines.flatMap(({ runs }) => runs.map(({ id }) => id)));
        let total = 0;
        for (const { at, error, host } of this.#ends) {
            const lost = outcomes.filter(outcome =>
                outcome.host === host.name && outcome.at < at && outcome.endedAt >= at - 200
                && outcome.endedAt < at + 1_000 && !outcome.isComplete && outcome.isKept && ran.has(outcome.id)
            );
            record(`${lost.length} requests from kept connections that engines ran ended with ${host.name} (${error})`);
            total += lost.length;
        }
        return total > TOLERATED
            ? [
                `LOST: ${this.#ends.length} times a host ended by itself, and ${total} requests from kept connections `
                + "that were passed on to sound engines ended without an answer",
            ]
            : [];
    }
}
