/**
 * A plain service and a key-value service that fail as told, under a schedule.
 *
 * @module
 */
import { type RandomSource } from "../../src/decision/index.js";
import { type ClaimRecord } from "../../src/generated/platform.js";
import {
    type ClaimBatcherEffect,
    type ClaimBatcherMessage,
    type Order,
    type OrdersMessage,
} from "../../src/orders/index.js";
import { type Run } from "./history.js";
import { type Schedule } from "./schedule.js";

/** How a plain service fails. */
export interface PlainFaults {
    /** Share of calls that get no connection. */
    readonly refusedShare: number;
    /** Share of calls that run and whose answer is lost. */
    readonly lostAnswerShare: number;
    /** Share of calls that hang: they run late or never, and give no answer in time. */
    readonly hangShare: number;
}

/** How the key-value service fails. */
export interface StoreFaults {
    /** `in turns`: at times, and for some hosts while others reach it. */
    readonly down: "never" | "always" | "at times" | "in turns";
    readonly lostAnswerShare: number;
}

type StoreCall = Extract<ClaimBatcherEffect, { type: "read" | "write"; }>;

const HOP_MILLISECONDS = 2;
const LATEST_RUN_MILLISECONDS = 20_000;
const STORE_PERIOD_MILLISECONDS = 8_000;
const STORE_TIMEOUT_MILLISECONDS = 1_000;

/** Carries one dispatch to the plain service. */
export function createPlainService(
    { schedule, random, faults, runs }: {
        readonly schedule: Schedule;
        readonly random: RandomSource;
        readonly faults: PlainFaults;
        readonly runs: Run[];
    },
): (order: Order, timeoutMilliseconds: number, deliver: (message: OrdersMessage) => void) => void {
    function run({ key, bodyHash }: Order): string {
        const result = `${key} ${bodyHash} ${runs.length}`;
        runs.push({ key, bodyHash, at: schedule.now, result });
        return result;
    }

    return (order, timeoutMilliseconds, deliver) => {
        const { key } = order;
        const fail = (notSent: boolean): void =>
            deliver({ type: "dispatch-failed", key, notSent, message: "no answer from the plain service" });
        const draw = random();
        if (draw < faults.refusedShare) {
            schedule.after(HOP_MILLISECONDS, () => fail(true));
            return;
        }
        const hangs = draw < faults.refusedShare + faults.hangShare;
        const lost = draw < faults.refusedShare + faults.hangShare + faults.lostAnswerShare;
        if (hangs || lost) {
            const delay = hangs ? random() * LATEST_RUN_MILLISECONDS : HOP_MILLISECONDS;
            if (lost || random() < 0.5) {
                schedule.after(delay, () => void run(order));
            }
            schedule.after(hangs ? timeoutMilliseconds : HOP_MILLISECONDS, () => fail(false));
            return;
        }
        schedule.after(HOP_MILLISECONDS + random() * 200, () => {
            const body = run(order);
            const result = { status: 200, contentType: "text/plain", body };
            schedule.after(HOP_MILLISECONDS, () => deliver({ type: "dispatch-answered", key, result }));
        });
    };
}

/** Carries one read or write to the key-value service. */
export function createStore(
    { schedule, random, faults }: {
        readonly schedule: Schedule;
        readonly random: RandomSource;
        readonly faults: StoreFaults;
    },
): (host: number, effect: StoreCall, deliver: (message: ClaimBatcherMessage) => void) => void {
    const records = new Map<string, { revision: number; record: ClaimRecord; }>();

    function isDown(host: number): boolean {
        const period = Math.floor(schedule.now / STORE_PERIOD_MILLISECONDS);
        const turn = faults.down === "in turns" ? period + host : period;
        return faults.down === "always" || (faults.down !== "never" && turn % 2 === 1);
    }

    function answer(effect: StoreCall): ClaimBatcherMessage {
        const { attempt, shard, storeKey } = effect;
        const present = records.get(storeKey);
        const read = { revision: present?.revision ?? 0, record: present?.record };
        if (effect.type === "read") {
            return { type: "read-answered", attempt, shard, read };
        }
        if (effect.expectedRevision !== read.revision) {
            return { type: "conflict", attempt, shard, current: read };
        }
        const revision = read.revision + 1;
        records.set(storeKey, { revision, record: effect.record });
        return { type: "written", attempt, shard, revision };
    }

    return (host, effect, deliver) => {
        const { attempt, shard } = effect;
        const fail = (notSent: boolean): void =>
            deliver(
                effect.type === "read"
                    ? { type: "read-failed", attempt, shard }
                    : { type: "write-failed", attempt, shard, notSent },
            );
        if (isDown(host)) {
            schedule.after(HOP_MILLISECONDS, () => fail(true));
            return;
        }
        const lost = random() < faults.lostAnswerShare;
        const delay = lost ? random() * 2 * STORE_TIMEOUT_MILLISECONDS : HOP_MILLISECONDS;
        schedule.after(delay, () => {
            const message = answer(effect);
            if (!lost) {
                schedule.after(HOP_MILLISECONDS, () => deliver(message));
            }
        });
        if (lost) {
            schedule.after(STORE_TIMEOUT_MILLISECONDS, () => fail(false));
        }
    };
}
