/**
 * Reading of YAML documents that keeps the line of each value, so that error messages can state the
 * place of each error.
 */
package io.foxtaildoor.common.yaml;
