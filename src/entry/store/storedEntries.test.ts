import assert from "node:assert/strict";
import { test } from "node:test";
import { StoredEntries } from "./storedEntries.js";

function createEntries(): { readonly calls: string[]; readonly entries: StoredEntries; } {
    const calls: string[] = [];
    const entries = new StoredEntries([
        { prefix: "hosts/", onPut: (name, { value }) => calls.push(`host ${name} ${value}`) },
        {
            prefix: "holders/",
            onPut: (name, { value }) => calls.push(`holder ${name} ${value}`),
            onRemoved: name => calls.push(`no holder ${name}`),
        },
    ]);
    return { calls, entries };
}

test("each entry is passed to the handler of its kind once per revision, and older revisions are ignored", () => {
    const { calls, entries } = createEntries();
    entries.put({ key: "hosts/one", value: "a", revision: 7 });
    entries.put({ key: "hosts/one", value: "a", revision: 7 });
    entries.put({ key: "hosts/one", value: "older", revision: 5 });
    entries.put({ key: "holders/one", value: "b", revision: 8 });
    entries.put({ key: "unknown/one", value: "c", revision: 9 });
    assert.deepEqual(calls, ["host one a", "holder one b"]);
    assert.deepEqual(entries.all().map(({ key }) => key), ["hosts/one", "holders/one"]);
    assert.deepEqual(["hosts/one", "hosts/two"].map(key => entries.revisionOf(key)), [7, 0]);
});

test("entries that a listing lacks are removed before its own are handled", () => {
    const { calls, entries } = createEntries();
    entries.put({ key: "holders/gone", value: "a", revision: 3 });
    entries.put({ key: "holders/kept", value: "b", revision: 4 });
    calls.length = 0;
    entries.replaceAll([
        { key: "holders/kept", value: "b", revision: 4 },
        { key: "holders/new", value: "c", revision: 6 },
    ]);
    assert.deepEqual(calls, ["no holder gone", "holder new c"]);
});

test("a removed key may be stored again", () => {
    const { calls, entries } = createEntries();
    entries.put({ key: "holders/one", value: "a", revision: 3 });
    entries.remove("holders/one");
    entries.put({ key: "holders/one", value: "b", revision: 9 });
    assert.deepEqual(calls, ["holder one a", "no holder one", "holder one b"]);
});
