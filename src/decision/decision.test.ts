import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom, rankByRendezvous } from "./index.js";

const PROPERTY_SEED = 20261203;

test("sources with the same seed return the same numbers, from 0 up to but not including 1", () => {
    const first = createSeededRandom(42);
    const second = createSeededRandom(42);
    for (let draw = 0; draw < 1000; draw += 1) {
        const value = first();
        assert.equal(value, second());
        assert.ok(value >= 0 && value < 1);
    }
});

test("rendezvous ranking ignores the order of members, and removing one reassigns only its own keys", () => {
    const members = fastCheck.uniqueArray(fastCheck.string({ minLength: 1 }), { minLength: 2, maxLength: 9 });
    fastCheck.assert(
        fastCheck.property(fastCheck.string(), members, (key, names) => {
            const ranked = rankByRendezvous(key, names);
            assert.deepEqual(rankByRendezvous(key, [...names].reverse()), ranked);
            const lastMember = ranked.at(-1);
            assert.equal(rankByRendezvous(key, names.filter(name => name !== lastMember))[0], ranked[0]);
        }),
        { seed: PROPERTY_SEED },
    );
});
