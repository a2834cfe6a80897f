import fc from "fast-check";
import assert from "node:assert/strict";
import { type ServerResponse } from "node:http";
import { test } from "node:test";
import { MemoryBudget } from "../../memory/index.js";
import { PagePool } from "../pagePool.js";
import { AnswerDelivery } from "./answerDelivery.js";
import { BufferedAnswer } from "./bufferedAnswer.js";

const HIGH_WATER_MARK_BYTES = 16 * 1024;

/** A connection that takes what is written when the test lets it. */
class HeldConnection {
    destroyed = false;
    writableEnded = false;
    writableLength = 0;
    readonly taken: Buffer[] = [];
    #written: { readonly bytes: Buffer; readonly onTaken: (error?: Error) => void; }[] = [];

    get isBusy(): boolean {
        return !this.writableEnded || this.#written.length > 0;
    }

    get writableNeedDrain(): boolean {
        return this.writableLength >= HIGH_WATER_MARK_BYTES;
    }

    write(bytes: Buffer, onTaken: (error?: Error) => void): boolean {
        assert.ok(!this.writableEnded && !this.destroyed);
        this.#written.push({ bytes, onTaken });
        this.writableLength += bytes.length;
        return !this.writableNeedDrain;
    }

    end(bytes?: Buffer): void {
        this.writableEnded = true;
        this.taken.push(Buffer.from(bytes ?? []));
    }

    take(): void {
        const written = this.#written;
        this.#written = [];
        this.writableLength = 0;
        for (const { bytes, onTaken } of written) {
            this.taken.push(Buffer.from(bytes));
            onTaken();
        }
    }

    destroy(): void {
        this.destroyed = true;
        this.#written.forEach(({ onTaken }) => onTaken(new Error("closed")));
    }
}

/** One answer: buffered, then passed on once it finds no room or is whole. */
class ModelledAnswer {
    readonly connection = new HeldConnection();
    readonly sent: Buffer[] = [];
    readonly #pages: PagePool;
    readonly #buffered: BufferedAnswer;
    readonly #delivery: AnswerDelivery;
    #state: "buffering" | "passing-on" | "ended" | "closed" = "buffering";

    constructor(memory: MemoryBudget, pages: PagePool) {
        this.#pages = pages;
        this.#buffered = new BufferedAnswer({ memory, pages });
        const response = this.connection as unknown as ServerResponse;
        this.#delivery = new AnswerDelivery({ response, reservation: memory.begin("answers"), pages });
    }

    get isWhole(): boolean {
        return this.#state === "ended";
    }

    receive(bytes: Buffer): void {
        if (this.#state === "ended" || this.#state === "closed") {
            return;
        }
        this.sent.push(Buffer.from(bytes));
        if (this.#state === "passing-on") {
            this.#delivery.add(this.#pages.store(bytes));
        }
        else if (this.#buffered.tryAdd(bytes) !== undefined) {
            this.#state = "passing-on";
            this.#delivery.add([...this.#buffered.take(), ...this.#pages.store(bytes)]);
        }
    }

    end(): void {
        if (this.#state === "buffering") {
            this.#delivery.deliver(this.#buffered.take());
        }
        else if (this.#state === "passing-on") {
            this.#delivery.end();
        }
        this.#state = this.#state === "closed" ? "closed" : "ended";
    }

    take(): void {
        if (this.#state !== "closed") {
            this.connection.take();
            this.#delivery.pump();
        }
    }

    /** The connection closes, by the caller, the deadline or the host; an attempt that runs is released. */
    close(): void {
        if (this.#state !== "closed") {
            this.#state = "closed";
            this.#buffered.release();
            this.connection.destroy();
            this.#delivery.close();
        }
    }
}

const steps = fc.array(
    fc.record({
        answer: fc.nat(3),
        act: fc.constantFrom(
            "receive" as const,
            "receive" as const,
            "receive" as const,
            "take" as const,
            "end" as const,
            "close" as const,
        ),
        bytes: fc.integer({ min: 1, max: 70_000 }),
    }),
    { maxLength: 40 },
);

test("bytes of an answer are lost or mixed with another's, or stay reserved, in some order of events", () => {
    fc.assert(
        fc.property(steps, drawn => {
            const memory = new MemoryBudget({ machineBytes: 4_000_000 });
            const pages = new PagePool();
            const answers = Array.from({ length: 4 }, () => new ModelledAnswer(memory, pages));
            drawn.forEach(({ act, answer, bytes }, index) => {
                const modelled = answers[answer];
                if (act === "receive") {
                    modelled?.receive(Buffer.alloc(bytes, index + 1));
                }
                else {
                    modelled?.[act]();
                }
                assert.ok(memory.reservedBytes("answers") >= 0);
            });
            for (const answer of answers) {
                while (answer.isWhole && answer.connection.isBusy) {
                    answer.take();
                }
                const taken = Buffer.concat(answer.connection.taken);
                const sent = Buffer.concat(answer.sent);
                assert.ok(taken.equals(answer.isWhole ? sent : sent.subarray(0, taken.length)));
                answer.close();
            }
            assert.equal(memory.reservedBytes("answers"), 0);
        }),
        { seed: 61, numRuns: 200, endOnFailure: true },
    );
});

test("whole answers take the room of requests", () => {
    const memory = new MemoryBudget({ machineBytes: 160_000_000 });
    const pages = new PagePool();
    const pieces = Buffer.alloc(64 * 1024);
    for (let count = 0; count < 200; count += 1) {
        const buffered = new BufferedAnswer({ memory, pages });
        while (buffered.tryAdd(pieces) === undefined) {
            assert.ok(memory.reservedBytes("answers") < memory.budgetBytes);
        }
    }
    assert.ok(memory.hasRoomFor("requests", 4 * 1024 * 1024));
});
