import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { Err, Ok, type Result } from "ts-results-es";
import { createSeededRandom, type RandomSource } from "../decision/index.js";
import { type ConfigurationRecord } from "../generated/platform.js";
import { type KeyValueEntry, type PlatformError, type SwapOptions, type SwapOutcome } from "../platform/types.js";
import { type AppliedChange, applyDeployment, type ApplyFailure, decodeRecordText } from "./index.js";

const SAKAN = readFileSync("examples/sakan.jsonc", "utf8");
const SEED = 20261203;
const KEY = "configuration";

/** A key-value service that loses requests and answers, and applies some writes late. */
class FaultyStore {
    readonly written: ConfigurationRecord[] = [];
    #entry: KeyValueEntry | undefined;
    #delayedWrites: SwapOptions[] = [];
    #remainingOutageCalls = 0;

    constructor(readonly random: RandomSource) {}

    async get(): Promise<Result<KeyValueEntry | undefined, PlatformError>> {
        await this.#yieldSomeTurns();
        const failure = this.#nextFailure();
        return failure === undefined ? new Ok(this.#entry) : new Err(failure);
    }

    async compareAndSwap(_key: string, options: SwapOptions): Promise<Result<SwapOutcome, PlatformError>> {
        await this.#yieldSomeTurns();
        const failure = this.#nextFailure();
        if (failure?.kind === "not-sent") {
            return new Err(failure);
        }
        const draw = this.random();
        if (failure !== undefined || draw < 0.15) {
            if (draw < 0.3) {
                this.#delayedWrites.push(options);
            }
            return new Err({ kind: "no-answer", message: "the request or its answer was lost" });
        }
        const outcome = this.#swap(options);
        await this.#yieldSomeTurns();
        return draw < 0.5 ? new Err({ kind: "no-answer", message: "the answer was lost" }) : new Ok(outcome);
    }

    /** Applies every delayed write. */
    applyDelayedWrites(): void {
        const delayedWrites = this.#delayedWrites;
        this.#delayedWrites = [];
        delayedWrites.forEach(options => this.#swap(options));
    }

    #swap(options: SwapOptions): SwapOutcome {
        if ((this.#entry?.revision ?? 0) !== options.expectedRevision) {
            return { type: "conflict", current: this.#entry };
        }
        const revision = this.written.length * 3 + 7;
        this.#entry = { key: KEY, value: options.value, revision };
        this.written.push(JSON.parse(options.value) as ConfigurationRecord);
        return { type: "written", revision };
    }

    #nextFailure(): PlatformError | undefined {
        if (this.random() < 0.05) {
            this.#remainingOutageCalls = Math.floor(this.random() * 12);
        }
        if (this.random() < 0.2) {
            this.applyDelayedWrites();
        }
        if (this.#remainingOutageCalls === 0) {
            return undefined;
        }
        this.#remainingOutageCalls -= 1;
        return { kind: this.random() < 0.5 ? "not-sent" : "no-answer", message: "outage" };
    }

    async #yieldSomeTurns(): Promise<void> {
        const turns = Math.floor(this.random() * 6);
        for (let turn = 0; turn < turns; turn += 1) {
            await Promise.resolve();
        }
    }
}

interface Attempt {
    readonly changeIdentifier: string;
    readonly outcome: Result<AppliedChange, ApplyFailure>;
}

async function applyChanges(store: FaultyStore, operator: string, attempts: number): Promise<Attempt[]> {
    const finished: Attempt[] = [];
    for (let number = 0; number < attempts; number += 1) {
        const changeIdentifier = `${operator}-${number}`;
        const outcome = await applyDeployment(`// ${changeIdentifier}\n${SAKAN}`, {
            keyValue: store,
            fileName: "text",
            operator,
            createIdentifier: () => changeIdentifier,
            readTimeOfDay: () => 0,
            wait: () => Promise.resolve(),
        });
        finished.push({ changeIdentifier, outcome });
    }
    return finished;
}

function assertOutcomeMatchesStore(attempt: Attempt, store: FaultyStore): void {
    const { outcome, changeIdentifier } = attempt;
    const copies = store.written.filter(record => record.changeIdentifier === changeIdentifier).length;
    if (outcome.isOk()) {
        assert.equal(copies, 1, `${changeIdentifier} is reported as applied`);
        return;
    }
    if (outcome.error.type === "unknown") {
        assert.ok(copies <= 1);
        return;
    }
    assert.equal(copies, 0, `${changeIdentifier} is reported as not applied: ${outcome.error.type}`);
}

test("concurrent operators get correct outcomes, and each change takes effect at most once", async () => {
    const countsByOutcome = new Map<string, number>();
    await fastCheck.assert(
        fastCheck.asyncProperty(fastCheck.nat(), async seed => {
            const store = new FaultyStore(createSeededRandom(seed));
            const operators = ["amina", "bilal", "carmen"].map(operator => applyChanges(store, operator, 3));
            const attempts = (await Promise.all(operators)).flat();
            store.applyDelayedWrites();
            attempts.forEach(attempt => assertOutcomeMatchesStore(attempt, store));
            store.written.forEach((record, index) => assert.equal(record.revision, index + 1));
            for (const { outcome } of attempts) {
                const kind = outcome.isOk() ? outcome.value.type : outcome.error.type;
                countsByOutcome.set(kind, (countsByOutcome.get(kind) ?? 0) + 1);
            }
        }),
        { seed: SEED, numRuns: 200 },
    );
    for (const kind of ["applied", "conflict", "unreachable", "unknown"]) {
        assert.ok((countsByOutcome.get(kind) ?? 0) > 0, `no attempt ended as ${kind}`);
    }
});

test("a change whose answer was lost and that later changes superseded is reported as applied", async () => {
    const store = new FaultyStore(() => 0.9);
    const [first] = await applyChanges(store, "amina", 1);
    assert.ok(first?.outcome.isOk());
    let loseNextAnswer = true;
    const overtakenStore = {
        get: () => store.get(),
        compareAndSwap: async (key: string, options: SwapOptions): Promise<Result<SwapOutcome, PlatformError>> => {
            const outcome = await store.compareAndSwap(key, options);
            if (!loseNextAnswer) {
                return outcome;
            }
            loseNextAnswer = false;
            await applyChanges(store, "bilal", 2);
            return new Err({ kind: "no-answer", message: "the answer was lost" });
        },
    };
    const outcome = await applyDeployment(SAKAN, {
        keyValue: overtakenStore,
        fileName: "text",
        operator: "carmen",
        createIdentifier: () => "carmen-0",
        readTimeOfDay: () => 0,
        wait: () => Promise.resolve(),
    });
    assert.deepEqual(outcome.map(change => [change.record.revision, change.supersededBy]), new Ok([2, 4]));
});

test("a long configuration is stored compressed, is detected as unchanged, and decodes to the same text", async () => {
    const store = new FaultyStore(() => 0.9);
    const longText = `${SAKAN}\n// ${"a long remark ".repeat(20_000)}`;
    const options = {
        keyValue: store,
        fileName: "text",
        operator: "amina",
        createIdentifier: () => "amina-0",
        readTimeOfDay: () => 0,
        wait: () => Promise.resolve(),
    };
    assert.equal((await applyDeployment(longText, options)).unwrap().type, "applied");
    assert.equal((await applyDeployment(longText, options)).unwrap().type, "unchanged");
    const [record] = store.written;
    assert.ok(record !== undefined && record.text.length * 10 < longText.length);
    assert.equal(decodeRecordText(record).unwrap(), longText);
    const undecodable = decodeRecordText({ text: "!", encoding: "gzip-base64" });
    assert.ok(undecodable.isErr());
});
