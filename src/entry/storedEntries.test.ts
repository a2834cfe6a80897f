import assert from "node:assert/strict";
import { test } from "node:test";
import { StoredEntries } from "./storedEntries.js";

function record(): { readonly heard: string[]; readonly entries: StoredEntries; } {
    const heard: string[] = [];
    const entries = new StoredEntries([
        { prefix: "hosts/", put: (name, { value }) => heard.push(`host ${name} ${value}`) },
        {
            prefix: "holders/",
            put: (name, { value }) => heard.push(`holder ${name} ${value}`),
            removed: name => heard.push(`no holder ${name}`),
        },
    ]);
    return { heard, entries };
}

test("each entry goes to the reader of its kind, once for each revision, and never an older one", () => {
    const { heard, entries } = record();
    entries.put({ key: "hosts/one", value: "a", revision: 7 });
    entries.put({ key: "hosts/one", value: "a", revision: 7 });
    entries.put({ key: "hosts/one", value: "older", revision: 5 });
    entries.put({ key: "holders/one", value: "b", revision: 8 });
    entries.put({ key: "unknown/one", value: "c", revision: 9 });
    assert.deepEqual(heard, ["host one a", "holder one b"]);
    assert.deepEqual(entries.all().map(({ key }) => key), ["hosts/one", "holders/one"]);
    assert.deepEqual(["hosts/one", "hosts/two"].map(key => entries.revisionOf(key)), [7, 0]);
});

test("what a whole listing lacks is gone before the listing is read", () => {
    const { heard, entries } = record();
    entries.put({ key: "holders/gone", value: "a", revision: 3 });
    entries.put({ key: "holders/kept", value: "b", revision: 4 });
    heard.length = 0;
    entries.replaceAll([
        { key: "holders/kept", value: "b", revision: 4 },
        { key: "holders/new", value: "c", revision: 6 },
    ]);
    assert.deepEqual(heard, ["no holder gone", "holder new c"]);
});

test("a key that was removed may come again", () => {
    const { heard, entries } = record();
    entries.put({ key: "holders/one", value: "a", revision: 3 });
    entries.remove("holders/one");
    entries.put({ key: "holders/one", value: "b", revision: 9 });
    assert.deepEqual(heard, ["holder one a", "no holder one", "holder one b"]);
});
