package org.pollensill.settings;

import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;

/**
 * Immutable node of the settings tree. A changed tree shares all unchanged nodes with the previous one, so that the
 * cost of a change depends on the width of the objects on its path and not on the size of the tree.
 */
sealed interface Node {

    /**
     * A value.
     *
     * @param value a validated value, or raw JSON that is unknown to this version of the program
     */
    record Leaf(Object value) implements Node {

        /** Creates a value. */
        public Leaf {
            Objects.requireNonNull(value, "value is null");
        }
    }

    /** An object. Keys are stored in a sorted array, which takes a fraction of the memory of a map. */
    final class Branch implements Node {

        /** The empty object. */
        static final Branch EMPTY = new Branch(new String[0], new Node[0]);

        private final String[] names;
        private final Node[] children;

        private Branch(String[] names, Node[] children) {
            this.names = names;
            this.children = children;
        }

        /** Creates an object from sorted entries. */
        static Branch of(java.util.SortedMap<String, Node> entries) {
            return entries.isEmpty()
                    ? EMPTY
                    : new Branch(
                            entries.keySet().toArray(new String[0]),
                            entries.values().toArray(new Node[0]));
        }

        int size() {
            return names.length;
        }

        String name(int index) {
            return names[index];
        }

        Node child(int index) {
            return children[index];
        }

        Optional<Node> get(String name) {
            int index = Arrays.binarySearch(names, name);
            return index < 0 ? Optional.empty() : Optional.of(children[index]);
        }

        Optional<Branch> branch(String name) {
            return get(name).filter(Branch.class::isInstance).map(Branch.class::cast);
        }

        Branch with(String name, Node child) {
            int index = Arrays.binarySearch(names, name);
            if (index >= 0) {
                Node[] replaced = children.clone();
                replaced[index] = child;
                return new Branch(names, replaced);
            }
            int insertAt = -index - 1;
            String[] longerNames = new String[names.length + 1];
            Node[] longerChildren = new Node[names.length + 1];
            System.arraycopy(names, 0, longerNames, 0, insertAt);
            System.arraycopy(children, 0, longerChildren, 0, insertAt);
            longerNames[insertAt] = name;
            longerChildren[insertAt] = child;
            System.arraycopy(names, insertAt, longerNames, insertAt + 1, names.length - insertAt);
            System.arraycopy(children, insertAt, longerChildren, insertAt + 1, names.length - insertAt);
            return new Branch(longerNames, longerChildren);
        }

        Branch without(String name) {
            int index = Arrays.binarySearch(names, name);
            if (index < 0) {
                return this;
            }
            String[] shorterNames = new String[names.length - 1];
            Node[] shorterChildren = new Node[names.length - 1];
            System.arraycopy(names, 0, shorterNames, 0, index);
            System.arraycopy(children, 0, shorterChildren, 0, index);
            System.arraycopy(names, index + 1, shorterNames, index, shorterNames.length - index);
            System.arraycopy(children, index + 1, shorterChildren, index, shorterNames.length - index);
            return new Branch(shorterNames, shorterChildren);
        }
    }

    /** Returns the node at a path. */
    default Optional<Node> at(SettingsPath path) {
        Node node = this;
        for (String segment : path.segments()) {
            if (!(node instanceof Branch)) {
                return Optional.empty();
            }
            Optional<Node> next = ((Branch) node).get(segment);
            if (next.isEmpty()) {
                return Optional.empty();
            }
            node = next.get();
        }
        return Optional.of(node);
    }
}
